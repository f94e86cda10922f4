#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "dispatch_simulation.h"

namespace kcm::dispatch {

/// Evacuates random data centres of a simulation and returns them to service.
/// Draws from a random stream of its own.
class RandomEvacuations {
 public:
  /// Distributes the workers over three data centres.
  RandomEvacuations(DispatchSimulation& simulation, std::uint32_t seed)
      : simulation_(simulation), seeds_({seed, kStream}), random_(seeds_) {
    for (auto& [id, worker] : simulation_.workers) {
      worker.info().data_centre = PickDataCentre();
      worker_ids_.push_back(id);
    }
  }

  /// Makes at most one random change.
  auto Step() -> void {
    // Each of these lasts until the next change, a second or so later.
    simulation_.holds_starts = Pick(0, 9) == 0;
    switch (Pick(0, 7)) {
      case 0:
        simulation_.SetEvacuated({PickDataCentre()});
        break;
      case 1:
        simulation_.SetEvacuated({PickDataCentre(), PickDataCentre()});
        break;
      case 2:
        simulation_.SetEvacuated({"a", "b", "c", "nowhere"});
        break;
      case 3:
        simulation_.SetEvacuated({});
        break;
      case 4: {
        // Returned to service for a moment.
        const auto evacuated = simulation_.evacuated;
        simulation_.SetEvacuated({});
        simulation_.Run(core::Millis{10} * Pick(0, 30));
        simulation_.SetEvacuated(evacuated);
        break;
      }
      case 5:
        simulation_.MoveWorker(
            worker_ids_[static_cast<std::size_t>(
                Pick(0, static_cast<int>(worker_ids_.size()) - 1))],
            PickDataCentre());
        break;
      default:
        break;
    }
  }

  /// Returns all data centres to service.
  auto End() -> void {
    simulation_.holds_starts = false;
    simulation_.SetEvacuated({});
  }

  auto Pick(int least, int most) -> int {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

 private:
  /// Tells this stream from the others of the same seed.
  static constexpr std::uint32_t kStream = 1;

  auto PickDataCentre() -> std::string {
    return std::vector<std::string>{"a", "b",
                                    "c"}[static_cast<std::size_t>(Pick(0, 2))];
  }

  DispatchSimulation& simulation_;
  std::seed_seq seeds_;
  std::mt19937 random_;
  std::vector<std::string> worker_ids_;
};

}  // namespace kcm::dispatch
