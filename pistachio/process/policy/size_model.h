#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "pistachio/process/policy/types.h"

namespace pistachio {

/// \brief Amount of resources that work is expected to use, in fractions where need be.
struct PredictedUse {
  double cpu_millis = 0.0;
  double memory_mib = 0.0;
};

/// \brief Learns what tasks really use beside what they declare.
///
/// A job's own measurements count first; a job without any is taken to be as far from its declared
/// size as other work of its class, and a new class to be as declared. Predictions only score a
/// placement: the hard bound stays with declared amounts.
class SizeModel {
 public:
  /// \brief Takes in the use of a task that declared \a declared and ran at \a speed.
  void Learn(const UsageSample& sample, const Resources& declared, double speed);

  /// \returns what a task of \a job is expected to use at full speed. Cost: constant.
  PredictedUse Predict(const JobId& job, const WorkClass& work_class,
                       const Resources& declared) const;

 private:
  struct Usage {
    double cpu_ratio = 1.0;     ///< used over declared
    double memory_ratio = 1.0;  ///< used over declared
    std::uint64_t touched = 0;  ///< order of the last measurement
    std::uint32_t samples = 0;
  };

  static void Blend(Usage& usage, double cpu_ratio, double memory_ratio);
  void ForgetOldest();

  std::unordered_map<std::string, Usage> jobs;
  std::unordered_map<std::string, Usage> classes;
  std::map<std::uint64_t, std::string> by_touch;  ///< oldest first, to bound the memory
  std::uint64_t touches = 0;
};

}  // namespace pistachio
