#pragma once

#include "crocusmount/Time.h"

#include <cstddef>
#include <cstdint>

namespace crocusmount::relay {

/// Limits the health checks that this instance sends to engines, since the platform charges each one as a probe. Holds
/// two token buckets. The regular one allows all instances together one check per engine in two seconds, with a burst
/// that covers all stages of one chain. The urgent one is for engines that show a sign of death, and allows this
/// instance a burst of one check per engine: the failure of a rack shows in all streams at the same time, and the
/// relay must then find out at once which of its engines are dead.
class EngineCheckBudget {
public:
    /// Refills both buckets for the time since the previous call.
    /// @param engines    number of registered engines
    /// @param instances  number of instances that share these engines
    void refill(std::size_t engines, std::uint32_t instances, TimePoint now);

    /// Consumes a token for a regular check.
    /// @return whether the check is allowed
    bool spend();
    /// Consumes a token for the check of an engine that shows a sign of death, from the urgent bucket if possible.
    /// @return whether the check is allowed
    bool spendUrgent();

private:
    /// Number of stages of a long chain, since a single stalled stage may silence all of them.
    static constexpr double RegularBurst = 16;

    double m_regularTokens = RegularBurst;
    double m_urgentTokens = RegularBurst;
    TimePoint m_lastRefill;
};

} // namespace crocusmount::relay
