// Embeds the request ledger in another program. The program supplies its own key-value store, here
// an in-memory map, as a type that models KvStore. It submits a payment twice, and the ledger runs
// it at most once.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <map>

#include "mimosabend.h"
#include "uuid7.h"

namespace {

using mimosabend::KvEntry;
using mimosabend::KvError;
using mimosabend::KvSwap;
using mimosabend::Result;
using mimosabend::Task;

class MapStore {
 public:
  Task<Result<KvEntry, KvError>> Read(std::string key) { co_return entries_[key]; }

  Task<Result<KvSwap, KvError>> CompareAndSwap(std::string key, std::string value,
                                               std::uint64_t expected) {
    KvEntry& entry = entries_[key];
    if (entry.version != expected) co_return KvSwap{};
    entry = {std::move(value), ++last_version_};
    co_return KvSwap{true, last_version_};
  }

  Task<Result<bool, KvError>> Delete(std::string key, std::uint64_t expected) {
    if (entries_[key].version != expected) co_return false;
    entries_.erase(key);
    co_return true;
  }

  Task<Result<std::vector<mimosabend::KvItem>, KvError>> List(std::string prefix) {
    std::vector<mimosabend::KvItem> items;
    for (const auto& [key, entry] : entries_) {
      if (entry.exists() && key.starts_with(prefix)) items.push_back({key, entry});
    }
    co_return items;
  }

  Task<Result<KvEntry, KvError>> Watch(std::string key, std::uint64_t, mimosabend::milliseconds) {
    co_return entries_[key];
  }

  // The request ledger uses no leases.
  Task<Result<mimosabend::LeaseId, KvError>> GrantLease(mimosabend::milliseconds) {
    co_return mimosabend::outcome::failure(KvError::kUnavailable);
  }
  Task<Result<bool, KvError>> RenewLease(std::string) { co_return false; }
  Task<Result<void, KvError>> RevokeLease(std::string) { co_return mimosabend::outcome::success(); }
  Task<Result<bool, KvError>> Acquire(std::string, std::string, std::string) { co_return false; }

 private:
  std::map<std::string, KvEntry> entries_;
  std::uint64_t last_version_ = 0;
};

static_assert(mimosabend::KvStore<MapStore>);

Task<void> Pay(mimosabend::RequestLedger<MapStore>* ledger, std::string key) {
  mimosabend::Service payments;
  payments.name = "payments";
  payments.repeatable = false;
  payments.record_window = mimosabend::seconds(3600);
  payments.slot_length = mimosabend::seconds(60);
  for (int attempt = 1; attempt <= 2; ++attempt) {
    const mimosabend::Reservation reservation =
        co_await ledger->Reserve(payments, key, 0, mimosabend::seconds(5), mimosabend::WallNow());
    std::cout << "attempt " << attempt << ": "
              << mimosabend::kReserveStatusNames[reservation.status] << "\n";
    if (reservation.status != mimosabend::ReserveStatus::kReserved) continue;
    std::cout << "pays once\n";
    co_await ledger->Finish(reservation, mimosabend::RecordState::kDone, 201, "text/plain", "paid");
  }
}

}  // namespace

int main() {
  boost::asio::io_context io(1);
  MapStore store;
  mimosabend::Metrics metrics;
  mimosabend::RequestLedger<MapStore> ledger(io.get_executor(), "shop/", &store, &metrics);
  boost::asio::co_spawn(io, Pay(&ledger, mimosabend::MakeUuid7(mimosabend::WallNow())),
                        boost::asio::detached);
  io.run();
}
