#pragma once

#include "crocusmount/Time.h"

#include <cstddef>
#include <cstdint>

namespace crocusmount::relay {

/// Bounds the checks that this instance makes of engines, since the platform charges each as a probe. All instances
/// together may check each engine once in two seconds; one chain's stages may be checked at once.
class EngineCheckBudget {
public:
    /// Earns checks for the time since the last call.
    /// @param engines    all that are registered
    /// @param instances  that share them
    void earn(std::size_t engines, std::uint32_t instances, TimePoint now);

    /// @return whether one more check is allowed; it is then spent
    bool spend();

private:
    /// Stages of a long chain: all of them may be silent for the sake of one.
    static constexpr double Burst = 16;

    double m_saved = Burst;
    TimePoint m_lastEarned;
};

} // namespace crocusmount::relay
