#include "relay/StartAdmission.h"

#include "relay/CallerPatience.h"
#include "relay/ScaledDuration.h"
#include "relay/Spread.h"
#include "relay/StartHoldEnd.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace crocusmount::relay {

namespace {

    /// Registry entries that ended while the store was silent are back within this time after its return, as the
    /// servers write them again.
    constexpr Duration EntryGrace = std::chrono::milliseconds(2500);
    /// Share of a stream caller's patience for which a call is held. The rest is what a first event takes on a busy
    /// engine, or what a refusal needs to reach a caller that still waits for it.
    constexpr double HoldShareOfPatience = 0.7;
    /// Share of the caller's timeout for which a call is held. The rest is left for the call, or for a second try.
    constexpr double HoldShareOfTimeout = 0.25;
    /// Longest hold of a call that is no stream. Its caller has no time for a second try after a longer one.
    constexpr Duration MaxHold = std::chrono::seconds(3);
    /// A call that could be held for less than this is refused at once: servers are not found in that time.
    constexpr Duration MinHold = std::chrono::milliseconds(100);
    /// Streams last about three seconds. Calls that begin no faster than full servers end them never exceed what these
    /// carry.
    constexpr double StreamSeconds = 3;
    /// Share of what the servers carry that is filled at once when they are known, since they are empty then. It takes
    /// them a fraction of the objective to begin these calls.
    constexpr double InitialFill = 0.15;
    /// Share of what the servers carry that may be filled within the time of a stream. Calls that arrive meanwhile take
    /// theirs first, and late ones the rest.
    constexpr double LateFill = 0.85;
    /// Share of what the servers carry that calls in time may take at once beyond their pace.
    constexpr double InTimeBurst = 0.3;
    /// Share of what the servers carry from which on they count as full by the loads that are known, as each of them
    /// has some more or fewer.
    constexpr double FullUse = 0.88;
    /// A caller whose timeout is shorter than the longest one of its route by more than this share has been refused
    /// before, or waited elsewhere. Timeouts of first tries differ by less.
    constexpr double ReturnShare = 0.15;
    /// How long that is watched after the servers are known: two generations of streams.
    constexpr Duration FullWatch = std::chrono::seconds(7);
    /// A number of instances, or a list of servers, that has not grown for this long is taken for the whole, since all
    /// register again in the same moment.
    constexpr Duration SettleTime = std::chrono::milliseconds(200);
    /// Longest wait for that, from the first configuration.
    constexpr Duration MaxCountWait = std::chrono::milliseconds(1000);
    /// Longest wait for the loads of others after servers are known. Without them the instance then goes by its own.
    constexpr Duration MaxLoadsWait = std::chrono::seconds(5);
    /// Random fraction of an engine's cost while no loads are known. It exceeds the ratio of the fastest card to the
    /// slowest, so that all are chosen.
    constexpr double SpreadWithoutLoads = 4;
    /// Time over which that fraction decreases once loads are reported. The first reports are of calls placed before.
    constexpr Duration SpreadDecay = std::chrono::milliseconds(7000);
    /// Shortest expected rest of an outage: one that has just begun is not over at once.
    constexpr Duration MinExpectedRest = std::chrono::milliseconds(500);
    /// Callers accept a Retry-After of up to this share of their remaining time.
    constexpr double MaxRetryShare = 1.0 / 3;
    constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
    /// Retry-After times are spread between these multiples of the expected rest. What an outage has turned away then
    /// comes back over twice its length, so that half as many callers return in a second as arrived in one.
    constexpr double MinRetryFactor = 0.5;
    constexpr double MaxRetryFactor = 6;

    double toSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }
    Duration fromSeconds(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

} // namespace

const char* toString(StartKnowledge knowledge)
{
    static constexpr std::array<const char*, 4> names { "nothing", "configuration", "servers", "complete" };
    return names.at(static_cast<std::size_t>(knowledge));
}

const char* toString(StartHoldEnd end)
{
    static constexpr std::array<const char*, StartHoldEndCount> names { "placed", "too_short", "too_many",
        "not_in_time", "patience_over" };
    return names.at(static_cast<std::size_t>(end));
}

StartAdmission::StartAdmission(Duration streamPatience)
    : m_streamPatience(streamPatience)
{
}

void StartAdmission::started(TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
}

void StartAdmission::configured(TimePoint now)
{
    if (!m_configuredAt)
        m_configuredAt = now;
}

void StartAdmission::storeCopyChecked(bool isOutdated, TimePoint now)
{
    if (m_isCopyOutdated && !isOutdated)
        m_copyCompleteSince = now;
    m_isCopyOutdated = isOutdated;
}

void StartAdmission::instancesCounted(std::uint32_t instances, TimePoint now)
{
    if (!m_countChangedAt || instances != m_instances)
        m_countChangedAt = now;
    m_instances = std::max(1U, instances);
}

void StartAdmission::loadsReported(bool areKnown, TimePoint now)
{
    if (areKnown && !m_loadsKnownAt)
        m_loadsKnownAt = now;
}

void StartAdmission::setCapacity(const ServiceId& id, Capacity capacity, TimePoint now, std::uint64_t entropy)
{
    const auto [found, isNew] = m_services.try_emplace(id);
    ServiceState& service = found->second;
    if (isNew)
        service.refilledAt = now;
    // The first call may go at any time within the interval between two, so that the instances don't send at once.
    if (capacity.calls > 0 && (isNew || service.unknownSince)) {
        service.knownSince = now;
        service.firstPermit = uniformFraction(entropy, 0);
        service.wantsInitialFill = true;
        service.permits = 0;
        service.refilledAt = now;
        service.unknownSince.reset();
    }
    if (capacity.calls <= 0 && !service.unknownSince)
        service.unknownSince = isNew ? m_startedAt.value_or(now) : now;
    if (capacity.calls > service.capacity.calls)
        service.grownAt = now;
    service.capacity = capacity;
}

const StartAdmission::ServiceState* StartAdmission::find(const ServiceId& id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

bool StartAdmission::mayMissServers(TimePoint now) const
{
    if (!m_configuredAt || m_isCopyOutdated)
        return true;
    return now < std::max(*m_configuredAt, m_copyCompleteSince.value_or(*m_configuredAt)) + EntryGrace;
}

bool StartAdmission::isReturning(const RouteId& route, Duration timeout)
{
    Duration& longest = m_longestTimeouts[route];
    longest = std::max(longest, timeout);
    return timeout.count() > 0 && timeout < scaled(longest, 1 - ReturnShare);
}

bool StartAdmission::isRecovering(const ServiceId& id, TimePoint now) const
{
    const ServiceState* service = find(id);
    return service && service->capacity.isPaced && !service->unknownSince && m_instances > 1
        && now < service->knownSince + FullWatch;
}

bool StartAdmission::isWatched(TimePoint now) const
{
    return mayMissServers(now) || std::any_of(m_services.begin(), m_services.end(), [&](const auto& each) {
        return !each.second.unknownSince && now < each.second.knownSince + FullWatch;
    });
}

bool StartAdmission::isCountSettled(TimePoint now) const
{
    return !m_countChangedAt || now >= *m_countChangedAt + SettleTime
        || now >= m_configuredAt.value_or(now) + MaxCountWait;
}

bool StartAdmission::knowsLoads(const ServiceState& service, TimePoint now) const
{
    if (!service.capacity.isPaced || m_loadsKnownAt)
        return true;
    if (!isCountSettled(now))
        return false;
    return m_instances == 1 || now >= service.knownSince + MaxLoadsWait;
}

StartKnowledge StartAdmission::knowledgeOf(const ServiceId& id, TimePoint now) const
{
    if (!m_configuredAt)
        return StartKnowledge::Nothing;
    const ServiceState* service = find(id);
    if (!service)
        return StartKnowledge::Complete;
    if (service->unknownSince)
        return mayMissServers(now) ? StartKnowledge::Configuration : StartKnowledge::Complete;
    return knowsLoads(*service, now) ? StartKnowledge::Complete : StartKnowledge::Servers;
}

Duration StartAdmission::unknownFor(const ServiceId& id, TimePoint now) const
{
    if (!m_configuredAt)
        return now - m_startedAt.value_or(now);
    const ServiceState* service = find(id);
    return service && service->unknownSince ? now - *service->unknownSince : Duration(0);
}

Duration StartAdmission::holdTime(Duration timeout, Duration objective, bool isStream, Duration pauseAim) const
{
    const Duration patience = callerPatience(m_streamPatience, objective, pauseAim);
    Duration hold = isStream ? scaled(patience, HoldShareOfPatience) : MaxHold;
    if (timeout.count() > 0)
        hold = std::min(hold, scaled(timeout, HoldShareOfTimeout));
    return hold < MinHold ? Duration(0) : hold;
}

double StartAdmission::callsPerSecond(const ServiceId& id) const
{
    const ServiceState* service = find(id);
    if (!service || service->capacity.calls <= 0)
        return 0;
    if (!service->capacity.isPaced)
        return std::numeric_limits<double>::infinity();
    return LateFill * service->capacity.calls / m_instances / StreamSeconds;
}

double StartAdmission::shareOf(const ServiceId& id) const
{
    const ServiceState* service = find(id);
    return service ? service->capacity.calls / m_instances : 0;
}

bool StartAdmission::isFull(const ServiceId& id, TimePoint now) const
{
    const ServiceState* service = find(id);
    return service && service->capacity.isPaced && m_loadsKnownAt && now < service->knownSince + FullWatch
        && service->capacity.running >= FullUse * service->capacity.calls;
}

bool StartAdmission::canBegin(const ServiceId& id, std::size_t ahead, TimePoint now, TimePoint until) const
{
    const ServiceState* service = find(id);
    // While no servers are known, or more are listed, nothing shows yet when the call could begin.
    if (!service || service->capacity.calls <= 0 || now < service->grownAt + SettleTime || !isCountSettled(now))
        return now < until;
    const double missing = static_cast<double>(ahead) + 1 - service->permits - InTimeBurst * shareOf(id);
    return now < until && missing <= callsPerSecond(id) * toSeconds(until - now);
}

bool StartAdmission::mayGo(const ServiceId& id, bool isLate, TimePoint now)
{
    const auto found = m_services.find(id);
    if (found == m_services.end() || found->second.capacity.calls <= 0)
        return false;
    ServiceState& service = found->second;
    if (!service.capacity.isPaced)
        return true;
    // Before the count and the list are settled, the share may be that of a lone instance, or of a few servers.
    if (!m_loadsKnownAt && (!isCountSettled(now) || (m_instances > 1 && now < service.grownAt + SettleTime))) {
        service.refilledAt = now;
        return false;
    }
    const double share = shareOf(id);
    if (std::exchange(service.wantsInitialFill, false)) {
        // The fraction makes the sum over all instances right where a share is less than a call.
        service.permits += InitialFill * share + (m_instances == 1 ? 1 : service.firstPermit);
        service.refilledAt = now;
    }
    // What was not used is not kept: after a calm second, the next calls must not go at once either.
    const double most = std::max({ 1.0, service.permits, callsPerSecond(id) * toSeconds(SettleTime) });
    service.permits = std::min(most, service.permits + callsPerSecond(id) * toSeconds(now - service.refilledAt));
    service.refilledAt = now;
    return !isFull(id, now) && service.permits >= (isLate ? 1 : 1 - InTimeBurst * share);
}

void StartAdmission::went(const ServiceId& id)
{
    const auto found = m_services.find(id);
    if (found != m_services.end() && found->second.capacity.isPaced)
        found->second.permits = std::max(found->second.permits - 1, -InTimeBurst * shareOf(id) - 1);
}

Duration StartAdmission::retryAfter(
    const ServiceId& id, std::size_t held, Duration remaining, double fraction, TimePoint now) const
{
    Duration rest = unknownFor(id, now);
    Duration earliest {};
    if (const double perSecond = callsPerSecond(id); perSecond > 0)
        rest = std::max(rest, fromSeconds(std::min(static_cast<double>(held) / perSecond, toSeconds(remaining))));
    else
        earliest = EntryGrace; // Most callers have one return, and servers may take this long after the store.
    rest = std::max({ rest, earliest, MinExpectedRest });
    const Duration latest = std::min(scaled(rest, MaxRetryFactor), scaled(remaining, MaxRetryShare));
    earliest = std::min(std::max(earliest, scaled(rest, MinRetryFactor)), latest / 2);
    return std::max(earliest + scaled(latest - earliest, fraction), MinRetryAfter);
}

double StartAdmission::costSpread(TimePoint now) const
{
    if (m_instances == 1)
        return 0;
    if (!m_loadsKnownAt)
        return SpreadWithoutLoads;
    const double passed = toSeconds(now - *m_loadsKnownAt) / toSeconds(SpreadDecay);
    return SpreadWithoutLoads * std::max(0.0, 1 - passed);
}

} // namespace crocusmount::relay
