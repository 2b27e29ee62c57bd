#include "relay/ServerPath.h"

namespace crocusmount::relay {

namespace {

    /// A single server may reject one instance only, for example because it has too many connections.
    constexpr std::size_t MinServers = 2;
    /// Must be longer than the lifetime of another instance's contact (ServerFleet) and the two rounds in which it is
    /// reported. Otherwise servers that fall silent for all instances would seem to answer the others.
    constexpr Duration MinFailingTime = std::chrono::milliseconds(800);
    /// Contacts that show whether the path is back. Some servers may be dead.
    constexpr std::size_t MinContacts = 5;
    constexpr double MinAnsweredShare = 0.65;
    /// What others heard from servers is reported every few hundred milliseconds.
    constexpr Duration MaxSilenceForAll = std::chrono::milliseconds(1000);
    /// Checks are answered within milliseconds, so that one dead server does not raise doubts for this long.
    constexpr Duration DoubtTime = std::chrono::milliseconds(250);

} // namespace

const char* toString(ServerPath path)
{
    switch (path) {
    case ServerPath::Unknown:
        return "unknown";
    case ServerPath::Reachable:
        return "reachable";
    case ServerPath::CutOff:
        return "cut_off";
    }
    return "path";
}

ServerPath classifyPath(const PathEvidence& evidence, ServerPath current)
{
    if (current == ServerPath::CutOff && evidence.silentForAll >= MaxSilenceForAll)
        return ServerPath::Unknown;
    if (current == ServerPath::CutOff) {
        const double neededAnswers = MinAnsweredShare * static_cast<double>(evidence.contacts);
        const bool isBack = evidence.contacts >= MinContacts && evidence.answeringServers >= MinServers
            && static_cast<double>(evidence.answered) >= neededAnswers;
        return isBack ? ServerPath::Reachable : ServerPath::CutOff;
    }
    if (evidence.knowsOthers && evidence.failedHereOnly >= MinServers && evidence.failingFor >= MinFailingTime)
        return ServerPath::CutOff;
    return evidence.answered && !evidence.failed ? ServerPath::Reachable : ServerPath::Unknown;
}

bool isPathInDoubt(const PathEvidence& evidence, ServerPath current)
{
    const bool isFailing = evidence.failed >= MinServers && evidence.failingFor >= DoubtTime;
    return current == ServerPath::CutOff || (evidence.knowsOthers && isFailing);
}

} // namespace crocusmount::relay
