#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/json_decode.h"
#include "LibCore/reason.h"

namespace kcm::core {

/// Largest amount of a resource or number of things.
inline constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
/// Longest duration, three years; one that takes part in sums and products.
inline constexpr Millis kMaxDurationMs = 100'000'000'000;

/// Reads members of one object that comes from outside the process, and keeps
/// the first one that has a wrong type or is out of range. An absent member
/// leaves its target unchanged.
class MemberReader {
 public:
  /// @param document outlives the reader; anything but an object is invalid.
  explicit MemberReader(const Json& document);

  /// Records the first of some members that is absent.
  auto Require(std::initializer_list<const char*> names) -> void;

  auto Read(const char* name, std::string& target) -> void;
  auto Read(const char* name, bool& target) -> void;
  /// Reads a whole number from 0 to `maximum`.
  auto Read(const char* name,
            std::int64_t& target,
            std::int64_t maximum = kMaxAmount) -> void;
  auto Read(const char* name, std::vector<std::string>& target) -> void;
  auto Read(const char* name, std::vector<std::int64_t>& target) -> void;
  /// Reads a number from 0 to `maximum`.
  auto ReadNumber(const char* name, double& target, double maximum) -> void;
  /// Reads a duration in milliseconds; a part of one is dropped.
  auto ReadDuration(const char* name, Millis& target) -> void;

  /// @return a member of any type, or nullptr if it is absent.
  [[nodiscard]] auto Find(const char* name) const -> const Json*;

  /// @return the first invalid member; empty when there is none.
  [[nodiscard]] auto invalid_member() const -> const std::string& {
    return invalid_member_;
  }

  /// @return whether all members read so far are valid; if not, `reason` names
  ///     the first invalid one and `owner`, the object with the members.
  [[nodiscard]] auto Check(const std::string& owner, Reason& reason) const
      -> bool;

 private:
  template <typename Value, typename Decode>
  auto Store(const char* name, Value& target, Decode decode) -> void;
  auto RecordInvalid(const char* name) -> void;

  const Json& document_;
  std::string invalid_member_;
};

}  // namespace kcm::core
