// How RelayReducer keeps to the limits that backend servers name, and refuses what limits and backoffs leave no room
// for.
//
// One instance coordinates each limited server and grants permits for it to the others. Every attempt at the server
// takes one permit, whatever its purpose. A call that no unlimited server can take waits for a permit, or is refused at
// once if none can come in time.

#include "relay/RelayReducer.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Most permits that are requested at once. More would expire before the calls arrive that use them.
    constexpr std::size_t MaxPermitsPerRequest = 8;

    /// @return whether a call of a service can begin at a server
    bool canBeginAt(const FleetServer& server, const ServiceId& service)
    {
        const RegisteredServer& entry = server.entry;
        if (entry.service != service || !server.isAvailable())
            return false;
        return !server.isEngine() || (entry.layers.size() && !entry.layers.begin);
    }

} // namespace

void RelayReducer::on(const event::ServerLimitReported& reported, Context& context)
{
    if (FleetServer* server = m_fleet.findByKey(reported.server))
        learnLimit(*server, reported.limit, context);
}

/// Records what a server's limit is, unless a later answer is known.
/// @return whether the limit began, changed or ended
bool RelayReducer::learnLimit(FleetServer& server, const ServerLimit& limit, Context& context)
{
    if (!server.recordLimit(limit))
        return false;
    context.effects.emplace_back(effect::LogServerLimit { server.entry.id, limit.perSecond });
    return true;
}

/// @param count  permits wanted; 0 only reports the limit to the coordinator
void RelayReducer::sendPermitRequest(FleetServer& server, std::uint32_t count, Context& context)
{
    const std::uint64_t number = m_nextPermitRequest++;
    if (count)
        server.permits.requested(number, context.now);
    context.effects.emplace_back(
        effect::RequestPermits { { InstanceId(), server.othersLoad.engine, number, count, server.limit } });
}

/// Requests permits for the limited servers at which a call could begin.
void RelayReducer::requestPermits(const Call& call, Context& context)
{
    const std::size_t wanted = std::min(MaxPermitsPerRequest, 1 + queueOf(call).waiting().size());
    for (const auto& [id, known] : m_fleet.servers()) {
        const bool isWanted = known.limit.isNamed() && !known.backoff.isActive(context.now);
        if (!isWanted || !canBeginAt(known, call.service) || !known.permits.shouldRequest(context.now))
            continue;
        ++m_counters.permitRequests;
        sendPermitRequest(*m_fleet.find(id), static_cast<std::uint32_t>(wanted), context);
    }
}

/// Handles a request of an instance, perhaps this one, as the coordinator of the server.
void RelayReducer::on(const event::PermitsRequested& requested, Context& context)
{
    PermitRequest request = requested.request;
    if (FleetServer* server = m_fleet.findByKey(request.server)) {
        learnLimit(*server, request.limit, context);
        request.limit = server->limit;
    }
    const PermitAnswer answer = m_permitIssuer.answer(request, context.now, context.entropy);
    if (m_permitIssuer.shouldAnnounce(request.server))
        context.effects.emplace_back(effect::ShareServerLimit { request.server, answer.limit });
    if (!request.count)
        return;
    m_counters.permitsGranted += answer.granted;
    m_counters.permitsDenied += request.count - answer.granted;
    context.effects.emplace_back(effect::AnswerPermits { request.sender, answer });
}

void RelayReducer::on(const event::PermitsAnswered& answered, Context& context)
{
    FleetServer* server = m_fleet.findByKey(answered.answer.server);
    if (!server)
        return;
    learnLimit(*server, answered.answer.limit, context);
    server->permits.answered(answered.answer, context.now);
    context.effects.emplace_back(
        effect::LogPermits { server->entry.id, answered.answer.granted, answered.answer.retryAfter });
    dispatchAll(context);
    refuseBeyondRestrictions(context);
}

/// @return what a service's servers let through, or nothing if a call can begin at a server without a restriction
std::optional<RelayReducer::RestrictedCapacity> RelayReducer::restrictedCapacity(
    const ServiceId& service, TimePoint now) const
{
    std::optional<RestrictedCapacity> capacity;
    double permitsPerSecond = 0;
    for (const auto& [id, server] : m_fleet.servers()) {
        if (!canBeginAt(server, service))
            continue;
        const bool isInBackoff = server.backoff.isActive(now);
        const bool isLimited = server.limit.isNamed();
        if (!isLimited && !isInBackoff)
            return std::nullopt;
        const TimePoint permitAt = isLimited ? server.permits.availableAt(now) : now;
        const TimePoint availableAt = std::max(permitAt, server.backoff.endsAt());
        if (!capacity || availableAt < capacity->availableAt) {
            const bool isBackoffLater = isInBackoff && server.backoff.endsAt() >= permitAt;
            capacity = RestrictedCapacity { availableAt, {},
                isBackoffLater ? Reason::ServersInBackoff : Reason::LimitReached };
        }
        const Duration interval = isLimited ? server.permits.interval(now) : Duration(0);
        permitsPerSecond += 1e6 / std::max<double>(1, static_cast<double>(interval.count()));
    }
    if (capacity)
        capacity->interval = Duration(static_cast<std::int64_t>(1e6 / permitsPerSecond));
    return capacity;
}

/// @param ahead  calls of the service that are placed before this one
/// @return what keeps a waiting call from being placed in time: limits or backoffs of the servers; nothing if neither
/// does
std::optional<Reason> RelayReducer::restrictionOn(const Call& call, std::size_t ahead, const Context& context) const
{
    const auto capacity = restrictedCapacity(call.service, context.now);
    if (!capacity || capacity->availableAt + capacity->interval * static_cast<std::int64_t>(ahead) < call.waitUntil)
        return std::nullopt;
    return capacity->reason;
}

/// Refuses queued calls that no server will take in time. The most urgent ones, and of these the oldest, keep their
/// places.
void RelayReducer::refuseBeyondRestrictions(Context& context)
{
    for (auto& [service, queue] : m_services) {
        const auto capacity = queue.waiting().empty() ? std::nullopt : restrictedCapacity(service, context.now);
        if (!capacity)
            continue;
        std::vector<const Call*> waiting;
        for (const auto& [id, call] : m_calls) {
            const bool isQueued = call.state == CallState::Waiting && !call.hasPartialAnswer && !call.nextHoldCheckAt;
            if (isQueued && call.service == service)
                waiting.push_back(&call);
        }
        std::stable_sort(
            waiting.begin(), waiting.end(), [](const Call* a, const Call* b) { return a->rank < b->rank; });
        std::vector<RequestId> refused;
        std::int64_t kept = 0;
        for (const Call* call : waiting) {
            if (capacity->availableAt + capacity->interval * kept >= call->waitUntil)
                refused.push_back(call->id);
            else
                ++kept;
        }
        for (const RequestId& id : refused)
            finishUnanswered(m_calls.at(id), capacity->reason, context, waitLimit(m_calls.at(id), context));
    }
}

} // namespace crocusmount::relay
