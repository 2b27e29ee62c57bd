#pragma once

#include "crocusmount/Time.h"

namespace crocusmount {

/// Latency and throughput of a pipeline as measured by this instance. All values are exponential moving averages.
/// An average of 0 has no samples yet.
struct PipelineStats {
    double tokenGapMicros = 0; ///< between two tokens of an attempt
    double firstTokenMicros = 0; ///< from the start of an attempt to its first token
    double completionsPerSecond = 0;
    TimePoint lastCompletionAt; ///< zero: no request was completed yet

    /// Adds a sample to an exponential moving average. The first sample becomes the average.
    static void updateAverage(double& average, double sample)
    {
        constexpr double gain = 0.05;
        average = average == 0 ? sample : average + gain * (sample - average);
    }
};

} // namespace crocusmount
