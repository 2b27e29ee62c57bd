#pragma once

#include "crocusmount/Reason.h"
#include "relay/AnswerEnding.h"
#include "relay/ClearCause.h"
#include "relay/ConnectFailure.h"
#include "relay/RetryLimit.h"
#include "relay/StartHoldEnd.h"

#include <array>
#include <cstdint>

namespace crocusmount::relay {

/// Monotonic counts of the relay.
struct RelayCounters {
    std::uint64_t calls = 0; ///< all calls that arrived
    std::uint64_t completed = 0; ///< calls whose answer was delivered completely
    std::uint64_t attempts = 0;
    std::uint64_t resumed = 0; ///< streams that continued at another chain after their first event
    std::uint64_t rerouted = 0; ///< orders to continue a running stream over another chain
    std::uint64_t reroutesRefused = 0; ///< reroute orders that the first stage refused
    std::uint64_t reroutesRefusedByNamedStage = 0; ///< of these, refusals that name the stage that is not there
    std::uint64_t evidenceChecks = 0; ///< health checks of the engines that explain best why streams are silent
    std::uint64_t evidenceChecksDenied = 0; ///< such checks for which the budget was spent
    std::uint64_t stallQuestions = 0; ///< queries for a stalled stage; the platform counts each one as a probe
    std::uint64_t engineChecks = 0; ///< health checks of engines; the platform counts each one as a probe
    std::uint64_t closedEngines = 0; ///< engines found to accept no new calls despite free capacity
    std::uint64_t deadEngines = 0; ///< health checks that were not answered
    std::uint64_t checksAnsweredLate = 0; ///< of these, health checks that were answered afterwards
    std::uint64_t startsEnded = 0; ///< starts of backend servers that a later start replaced
    std::uint64_t entriesOutdated = 0; ///< registry entries of ended starts
    std::uint64_t entriesUnusable = 0; ///< registry entries with a service or layers that the configuration lacks
    std::uint64_t crashesCounted = 0; ///< server crashes counted as evidence against a request
    std::uint64_t crashesInGroups = 0; ///< crashes that count for less, because other servers ended at that moment, too
    std::uint64_t suspectsCleared = 0; ///< broken attempts that no longer count as suspects, as their server answered
    std::uint64_t suspectsExpired = 0; ///< such attempts of which it did not become known whether a server had ended
    std::uint64_t suspectsLate = 0; ///< such attempts at servers whose end had been judged by then
    std::uint64_t quarantined = 0; ///< requests that were quarantined, so they are sent to no server
    std::array<std::uint64_t, ClearCauseCount> cleared {}; ///< traits of which evidence was dropped, by cause
    std::uint64_t suspectsRanLately = 0; ///< traits in crash reports of which requests ran lately
    std::uint64_t held = 0; ///< calls that waited until the cause of a server's end was known
    std::uint64_t startHeld = 0; ///< calls held because this instance knew too little to place them
    std::array<std::uint64_t, StartHoldEndCount> startHolds {}; ///< such calls, also those refused at once, by end
    std::uint64_t limitsSeen = 0; ///< answers that named a limit of their server
    std::uint64_t backoffsRequested = 0; ///< rejections whose server asked for a time without requests
    std::uint64_t attemptsWithdrawn = 0; ///< attempts cancelled before they were sent, as their server wants none
    std::uint64_t leavesAnnounced = 0; ///< servers that said in an answer that they will exit
    std::uint64_t noticesUnreadable = 0; ///< headers of servers about themselves with values that were ignored
    std::uint64_t permitRequests = 0; ///< requests for permits to send to a limited server
    std::uint64_t permitsGranted = 0; ///< permits that this instance granted as a coordinator
    std::uint64_t permitsDenied = 0; ///< permits that this instance did not grant as a coordinator
    /// Answers whose body was read, by framing and by what ended the reading.
    std::array<std::array<std::uint64_t, AnswerStopCount>, AnswerFramingCount> answerEndings {};
    std::array<std::uint64_t, EndVerdictCount> unprovenEnds {}; ///< unproven ends of streams, by what was found out
    std::array<std::uint64_t, ConnectFailureCount> connectFailures {}; ///< attempts that could not connect, by cause
    std::uint64_t pathsLost = 0; ///< times that this instance found itself cut off from all backend servers
    std::uint64_t pathsRestored = 0; ///< times that it reached them again
    std::uint64_t eventsCutOff = 0; ///< streams that ended inside an event
    std::uint64_t callersLeft = 0; ///< callers that closed their connection before the end of the answer
    std::uint64_t configurationsAccepted = 0;
    std::array<std::uint64_t, ReasonCount> refused {}; ///< final answers given by the relay itself, by reason
    std::array<std::uint64_t, ReasonCount> retried {}; ///< retries, by the reason why the previous attempt failed
    /// Calls not retried after a failed attempt, by the limit that prevented the retry.
    std::array<std::uint64_t, RetryLimitCount> retriesDenied {};
};

} // namespace crocusmount::relay
