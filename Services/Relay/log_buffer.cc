#include "log_buffer.h"

#include <algorithm>
#include <utility>

namespace kcm::relay {

namespace {

constexpr std::size_t kMaxBufferedRecords = 4096;

}  // namespace

auto LogBuffer::Add(std::int64_t offset, core::Json record) -> void {
  if (records_.empty()) {
    first_offset_ = offset;
  }
  records_.push_back(std::move(record));
  if (records_.size() > kMaxBufferedRecords) {
    records_.pop_front();
    ++first_offset_;
  }
}

auto LogBuffer::Clear() -> void {
  records_.clear();
}

auto LogBuffer::RecordsFrom(std::int64_t offset, std::size_t limit) const
    -> std::optional<std::vector<core::Json>> {
  if (records_.empty() || offset < first_offset_) {
    return std::nullopt;
  }
  const auto skip = static_cast<std::size_t>(offset - first_offset_);
  std::vector<core::Json> records;
  for (auto i = skip; i < std::min(records_.size(), skip + limit); ++i) {
    records.push_back(records_[i]);
  }
  return records;
}

}  // namespace kcm::relay
