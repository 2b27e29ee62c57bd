#pragma once

#include "crocusmount/Time.h"

#include <cstddef>
#include <cstdint>

namespace crocusmount::relay {

/// Bounds the checks that this instance makes of engines, since the platform charges each as a probe. All instances
/// together may check each engine once in two seconds; one chain's stages may be checked at once. Beside that, each
/// instance may check each engine once where there is a sign of death: a rack that dies shows in all streams at once,
/// and which of its engines are dead must be known then.
class EngineCheckBudget {
public:
    /// Earns checks for the time since the last call.
    /// @param engines    all that are registered
    /// @param instances  that share them
    void earn(std::size_t engines, std::uint32_t instances, TimePoint now);

    /// @return whether one more check is allowed; it is then spent
    bool spend();
    /// @return the same for a check that a sign of death asks for
    bool spendUrgent();

private:
    /// Stages of a long chain: all of them may be silent for the sake of one.
    static constexpr double Burst = 16;

    double m_saved = Burst;
    double m_urgent = Burst;
    TimePoint m_lastEarned;
};

} // namespace crocusmount::relay
