#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "LibDispatch/job_spec.h"

namespace kcm::dispatch {

/// @return the memory that a specification takes, by an upper estimate.
[[nodiscard]] auto BytesOfSpec(const JobSpec& spec) -> std::size_t;

/// @return the memory that an accepted job takes with all its tasks, by an
///     upper estimate.
[[nodiscard]] auto BytesOfJob(const JobSpec& spec) -> std::size_t;

/// The memory that accepted jobs take, by client account, and the decision
/// whether another job may be accepted.
///
/// An account may hold as much as is left free. So one alone gets half of the
/// limit, and there is always room for one that has no jobs yet.
class AcceptedWork {
 public:
  auto Add(const std::string& account, std::size_t bytes) -> void;
  auto Remove(const std::string& account, std::size_t bytes) -> void;

  /// @param limit for the jobs of all accounts.
  [[nodiscard]] auto HasRoomFor(const std::string& account,
                                std::size_t bytes,
                                std::size_t limit) const -> bool;

  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }
  [[nodiscard]] auto BytesOf(const std::string& account) const -> std::size_t;

 private:
  std::size_t bytes_ = 0;
  std::map<std::string, std::size_t> by_account_;
};

}  // namespace kcm::dispatch
