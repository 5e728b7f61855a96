#include "listing_progress.h"

namespace mimosabend {

PageResult ListingProgress::AddPage(const std::string& last_key, bool truncated) {
  if (!truncated) return PageResult::kComplete;
  if (last_key.empty() || cursors_.size() >= kMaxPages) return PageResult::kStuck;
  // Stores may order keys as they like, but none returns to an earlier one.
  if (!cursors_.insert(last_key).second) return PageResult::kStuck;
  cursor_ = last_key;
  return PageResult::kMore;
}

}  // namespace mimosabend
