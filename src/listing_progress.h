#ifndef MIMOSABEND_LISTING_PROGRESS_H_
#define MIMOSABEND_LISTING_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace mimosabend {

// What a page tells about the listing that it belongs to.
enum class PageResult : std::uint8_t {
  kComplete,
  kMore,
  // The next page would not come nearer to the end.
  kStuck
};

// Follows a listing that is read page by page, so that one without an end is noticed. Not
// thread-safe.
class ListingProgress {
 public:
  static constexpr std::size_t kMaxPages = 4096;

  // Records a page. `last_key` is the key of its last item, empty if it has none; `truncated` says
  // that items follow.
  PageResult AddPage(const std::string& last_key, bool truncated);

  // The key after which the next page begins; empty for the first page.
  const std::string& cursor() const { return cursor_; }

 private:
  std::string cursor_;
  std::set<std::string> cursors_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LISTING_PROGRESS_H_
