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
///
/// A third bucket is for engines that silent streams point to. It allows all instances together one check per engine
/// and second, and each instance a burst. How many instances check one engine at the same time is bounded by chance: a
/// new connection takes an engine 1 ms, and a check that is not answered within 80 ms makes it look dead. At most
/// MaxChecksPerWindow are to arrive within that time, which leaves an engine half of it. Instances that suspect
/// the same engine, of which each knows the approximate number, check it with the chance at which twenty of them do.
/// Checks after another instance's report are not among these.
class EngineCheckBudget {
public:
    /// Refills both buckets for the time since the previous call.
    /// @param engines    number of registered engines
    /// @param instances  number of instances that share these engines
    void refill(std::size_t engines, std::uint32_t instances, TimePoint now);

    /// Time that an engine has to answer a check.
    static constexpr Duration CheckWindow = std::chrono::milliseconds(80);
    /// Most checks that an engine that is not known to be dead is to receive in that time.
    static constexpr std::size_t MaxChecksPerWindow = 40;

    /// @param users  instances that may suspect the engine at this moment
    /// @return chance in [0, 1] at which each of them checks it within CheckWindow
    static double suspectCheckChance(double users);

    /// Consumes a token for the check of an engine that silent streams point to.
    /// @return whether the check is allowed
    bool spendByEvidence();
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
    /// Three lost engines, each with two others that explain the same streams.
    static constexpr double EvidenceBurst = 9;

    double m_evidenceTokens = EvidenceBurst;
    TimePoint m_lastRefill;
};

} // namespace crocusmount::relay
