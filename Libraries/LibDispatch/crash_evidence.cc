#include "LibDispatch/crash_evidence.h"

#include <algorithm>
#include <set>

namespace kcm::dispatch {

namespace {

auto IsYoung(const RunAtCrash& run) -> bool {
  return run.survived_ms < kDeadlyWithinMs;
}

auto IsYoungSuspect(const RunAtCrash& run) -> bool {
  return run.is_suspect && IsYoung(run);
}

auto IsYoungOrSuspect(const RunAtCrash& run) -> bool {
  return run.survived_ms < kProvenMs && (run.is_suspect || IsYoung(run));
}

auto IsAny(const RunAtCrash&) -> bool {
  return true;
}

}  // namespace

auto CrashEvidence::IsConclusive() const -> bool {
  constexpr std::int64_t kCrashes = 4;
  constexpr std::int64_t kAsOnlyCandidate = 3;
  constexpr std::int64_t kMaxAsCandidate = 5;
  return (crashes >= kCrashes && as_only_candidate >= kAsOnlyCandidate) ||
         as_candidate >= kMaxAsCandidate;
}

auto MayExplainCrash(const std::vector<RunAtCrash>& runs) -> bool {
  return std::any_of(runs.begin(), runs.end(), [](const RunAtCrash& run) {
    return run.survived_ms < kProvenMs;
  });
}

auto JudgeCrash(const std::vector<RunAtCrash>& runs, bool is_weak)
    -> std::vector<Implication> {
  const auto has = [&runs](auto matches) {
    return std::any_of(runs.begin(), runs.end(), matches);
  };
  const auto is_candidate = has(IsYoungSuspect)     ? IsYoung
                            : has(IsYoungOrSuspect) ? IsYoungOrSuspect
                                                    : IsAny;
  std::set<TaskId> candidates;
  for (const auto& run : runs) {
    if (is_candidate(run)) {
      candidates.insert(run.task);
    }
  }
  std::vector<Implication> implications;
  implications.reserve(runs.size());
  for (const auto& run : runs) {
    if (run.survived_ms >= kProvenMs) {
      implications.push_back(Implication::kNone);
    } else if (!candidates.contains(run.task)) {
      implications.push_back(Implication::kPresent);
    } else {
      implications.push_back(candidates.size() > 1 || is_weak
                                 ? Implication::kCandidate
                                 : Implication::kOnlyCandidate);
    }
  }
  return implications;
}

}  // namespace kcm::dispatch
