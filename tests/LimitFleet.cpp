#include "tests/LimitFleet.h"

#include <algorithm>
#include <cstring>

namespace crocusmount::relay {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration TickInterval = milliseconds(20);
    /// One way between an instance and a server.
    constexpr Duration NetworkDelay = milliseconds(1);
    /// From the arrival of a request at its server to the header of the answer.
    constexpr Duration TimeToBegin = milliseconds(40);
    /// Between two events of a stream.
    constexpr Duration EventInterval = milliseconds(40);
    constexpr std::uint64_t EventsPerStream = 20;
    constexpr std::uint32_t SlotsPerServer = 192;
    /// A member that has not reported for this long is assumed to be dead.
    constexpr Duration MaxMemberSilence = milliseconds(1800);
    constexpr Duration RoundInterval = milliseconds(150);
    /// Between two readings of the list without a change. Real instances read it in each round.
    constexpr Duration ListInterval = milliseconds(1000);
    /// An instance counts as told this long after it received the limit.
    constexpr Duration ToldDelay = milliseconds(500);

} // namespace

LimitFleet::LimitFleet(Options options)
    : m_options(std::move(options))
    , m_randomState(m_options.seed)
{
    for (std::size_t i = 0; i < m_options.firstStages; ++i) {
        addServer(RelayHarness::engine("e" + std::to_string(i), 0, 4));
        addServer(RelayHarness::engine("f" + std::to_string(i), 4, 8));
    }
    for (std::size_t i = 0; i < m_options.plainServers; ++i)
        addServer(RelayHarness::plain("p" + std::to_string(i)));
    m_instances.resize(m_options.instances);
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        startInstance(i);
        at(TickInterval * i / m_options.instances, [this, i] { tick(i); });
    }
    for (std::size_t i = 0; i < m_options.instances; ++i)
        readInstances(i);
    readListRegularly();
    at(Duration(0), [this] { sendCall(); });
}

InstanceId LimitFleet::instanceId(std::size_t instance) const
{
    return InstanceId(std::to_string(instance) + "-" + std::to_string(m_instances[instance].starts));
}

std::optional<std::size_t> LimitFleet::findInstance(const InstanceId& id) const
{
    const std::size_t instance = std::stoul(id.value());
    const bool isSameStart = id == instanceId(instance) && m_instances[instance].reducer;
    return isSameStart ? std::optional(instance) : std::nullopt;
}

void LimitFleet::readListRegularly()
{
    publishInstances();
    at(ListInterval, [this] { readListRegularly(); });
}

void LimitFleet::publishInstances()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        at(milliseconds(static_cast<std::int64_t>(300 * random())), [this, i] { readInstances(i); });
}

void LimitFleet::readInstances(std::size_t reader)
{
    std::vector<LimitCoordinators::Candidate> candidates;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (m_instances[i].isListed || i == reader)
            candidates.push_back({ instanceId(i), std::to_string(i), !m_instances[i].isSilent });
    }
    m_instances[reader].coordinators.update(candidates, m_now);
}

void LimitFleet::restartInstance(std::size_t instance, Duration downtime)
{
    m_instances[instance].reducer.reset();
    std::erase_if(m_attempts, [&](const auto& each) { return each.first.first == instance; });
    m_instances[instance].openCalls.clear();
    at(MaxMemberSilence, [this, instance] {
        m_instances[instance].isSilent = !m_instances[instance].reducer;
        publishInstances();
    });
    at(downtime, [this, instance] {
        startInstance(instance);
        publishInstances();
    });
}

void LimitFleet::loseInstanceList(Duration span)
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        m_instances[i].isListed = false;
        const auto registeredAfter = Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * random()));
        at(registeredAfter, [this, i] { m_instances[i].isListed = true; });
    }
    // Instances read the list in each round.
    for (Duration after {}; after <= span + RoundInterval; after += RoundInterval)
        at(after, [this] { publishInstances(); });
}

std::size_t LimitFleet::coordinatorOf(const std::string& server)
{
    const RegisteredServer& entry = m_servers.at(BackendId(server)).entry;
    return std::stoul(m_instances[0].coordinators.coordinatorOf(engineKey(entry.id, entry.startedAt))->value());
}

Duration LimitFleet::meanWaitForRefusal() const
{
    return m_totalWaitForRefusal / static_cast<std::int64_t>(std::max<std::size_t>(1, m_failed));
}

std::uint64_t LimitFleet::permitRequests() const
{
    std::uint64_t requests = 0;
    for (const Instance& instance : m_instances)
        requests += instance.reducer ? instance.reducer->counters().permitRequests : 0;
    return requests;
}

void LimitFleet::restartServer(const std::string& id)
{
    Server& server = m_servers.at(BackendId(id));
    setLimit(id, std::nullopt);
    server.toldAt.clear();
    server.capacity = 0;
    server.isLeaving = false;
    server.toldOfLeavingAt.clear();
    server.entry.startedAt = StartTime(++server.starts);
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        registerServers(i);
}

void LimitFleet::sendMessage(std::size_t to, RelayEventBody body)
{
    if (random() < m_options.messageLossRate)
        return;
    at(NetworkDelay, [this, to, body = std::move(body)] { post(to, body); });
}

void LimitFleet::addServer(const RegisteredServer& entry)
{
    Server& server = m_servers[entry.id];
    server.entry = entry;
    server.entry.address = "10.0.1." + std::to_string(m_servers.size()) + ":80";
    server.entry.slots = SlotsPerServer;
}

void LimitFleet::startInstance(std::size_t instance)
{
    RelayOptions options;
    options.dataCentre = DataCentreId("z");
    Instance& started = m_instances[instance];
    started.reducer = std::make_unique<RelayReducer>(options);
    ++started.starts;
    started.isListed = true;
    started.isSilent = false;
    for (auto& [id, server] : m_servers) {
        server.toldAt.erase(instance);
        server.toldOfLeavingAt.erase(instance);
    }
    post(instance, event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
    post(instance, event::InstancesCounted { static_cast<std::uint32_t>(m_instances.size()) });
    registerServers(instance);
    // Without reports an instance assumes that all others use the servers as much as it does.
    post(instance, event::LoadsReported { EngineLoads() });
}

void LimitFleet::registerServers(std::size_t instance)
{
    for (const auto& [id, server] : m_servers)
        post(instance, event::ServerRegistered { server.entry });
}

double LimitFleet::random()
{
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(m_randomState >> 11U) / 9007199254740992.0; // 2^53
}

void LimitFleet::at(Duration delay, std::function<void()> action)
{
    m_actions.emplace(m_now + delay, std::move(action));
}

void LimitFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

void LimitFleet::tick(std::size_t instance)
{
    post(instance, event::Tick {});
    at(TickInterval, [this, instance] { tick(instance); });
}

void LimitFleet::setLimit(const std::string& server, std::optional<double> perSecond)
{
    Server& changed = m_servers.at(BackendId(server));
    changed.limit = perSecond;
    changed.limits.emplace_back(m_now, perSecond);
}

void LimitFleet::setCapacity(const std::string& id, double perSecond, Duration retryAfter)
{
    Server& server = m_servers.at(BackendId(id));
    server.capacity = perSecond;
    server.tokens = 0;
    server.tokensAt = m_now;
    server.retryAfter = retryAfter;
}

void LimitFleet::announceLeaving(const std::string& server) { m_servers.at(BackendId(server)).isLeaving = true; }

void LimitFleet::rereadEntry(const std::string& id, bool isMissing)
{
    const RegisteredServer& entry = m_servers.at(BackendId(id)).entry;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (isMissing)
            post(i, event::ServerUnregistered { entry.id });
        post(i, event::ServerRegistered { entry });
    }
}

void LimitFleet::sendCall()
{
    const bool isForFirst = random() < m_options.shareOfFirstInstance;
    const std::size_t instance
        = isForFirst ? 0 : static_cast<std::size_t>(random() * static_cast<double>(m_instances.size()));
    const RequestId id(m_nextCall++);
    CallSpec spec;
    spec.host = "h.example";
    spec.path = m_options.path;
    spec.key = "key";
    spec.callerTimeout = std::chrono::seconds(20);
    spec.promptTokens = 100;
    spec.maxAnswerTokens = 50;
    const std::uint64_t number = id.value();
    std::memcpy(spec.content.bytes.data(), &number, sizeof(number));
    if (m_instances[instance].reducer) {
        m_instances[instance].openCalls[id] = m_now;
        post(instance, event::CallArrived { id, spec });
    }
    // The time between two calls varies, so that the calls do not fall into step with the ticks.
    at(Duration(static_cast<std::int64_t>(2e6 * random() / m_options.callsPerSecond)), [this] { sendCall(); });
}

void LimitFleet::post(std::size_t instance, RelayEventBody body)
{
    if (!m_instances[instance].reducer)
        return;
    RelayEffects effects;
    const auto entropy = static_cast<std::uint64_t>(random() * 1e18);
    m_instances[instance].reducer->reduce({ m_now, entropy, std::move(body) }, effects);
    apply(instance, effects);
}

void LimitFleet::apply(std::size_t instance, const RelayEffects& effects)
{
    for (const RelayEffect& effect : effects) {
        if (const auto* started = std::get_if<effect::StartAttempt>(&effect)) {
            start(instance, *started);
        } else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&effect)) {
            m_attempts.erase({ instance, cancelled->attempt });
        } else if (const auto* check = std::get_if<effect::CheckEngine>(&effect)) {
            at(2 * NetworkDelay, [this, instance, engine = check->engine] {
                post(instance, event::EngineChecked { engine, true });
            });
        } else if (const auto* wanted = std::get_if<effect::RequestPermits>(&effect)) {
            PermitRequest request = wanted->request;
            request.sender = instanceId(instance);
            const auto coordinator = m_instances[instance].coordinators.coordinatorOf(request.server);
            const auto receiver = coordinator ? findInstance(*coordinator) : std::nullopt;
            if (receiver && m_instances[*receiver].coordinators.coordinatorOf(request.server) == coordinator)
                sendMessage(*receiver, event::PermitsRequested { request });
        } else if (const auto* answer = std::get_if<effect::AnswerPermits>(&effect)) {
            if (const auto receiver = findInstance(answer->requester))
                sendMessage(*receiver, event::PermitsAnswered { answer->answer });
        } else if (const auto* share = std::get_if<effect::ShareServerLimit>(&effect)) {
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != instance)
                    sendMessage(other, event::ServerLimitReported { share->server, share->limit });
            }
        } else if (const auto* refused = std::get_if<effect::Refuse>(&effect)) {
            finishCall(instance, refused->call, false);
        } else if (const auto* broken = std::get_if<effect::BreakAnswer>(&effect)) {
            finishCall(instance, broken->call, false);
        }
    }
}

void LimitFleet::finishCall(std::size_t instance, RequestId call, bool isCompleted)
{
    const auto found = m_instances[instance].openCalls.extract(call);
    if (found.empty())
        return;
    ++(isCompleted ? m_completed : m_failed);
    if (!isCompleted)
        m_totalWaitForRefusal += m_now - found.mapped();
    if (!isCompleted)
        m_longestWaitForRefusal = std::max(m_longestWaitForRefusal, m_now - found.mapped());
}

void LimitFleet::start(std::size_t instance, const effect::StartAttempt& started)
{
    const AttemptKey key { instance, started.attempt };
    RunningAttempt attempt;
    attempt.call = started.call;
    attempt.serverStart = started.serverStart;
    attempt.startedAt = started.startedAt;
    attempt.nextEventId = started.resumeAfter.value_or(0) + 1;
    attempt.breaksOff = random() < m_options.breakRate;
    attempt.lastEventId = attempt.breaksOff ? attempt.nextEventId + EventsPerStream / 2 : EventsPerStream;
    m_attempts[key] = attempt;
    const Duration connectTime = m_options.maxConnectTime.count()
        ? Duration(static_cast<std::int64_t>(random() * static_cast<double>(m_options.maxConnectTime.count())))
        : Duration(0);
    at(connectTime, [this, key, server = started.server] {
        if (!m_attempts.count(key))
            return;
        post(key.first, event::AttemptSent { key.second });
        at(NetworkDelay, [this, key, server] { arrive(key, server); });
    });
}

void LimitFleet::arrive(const AttemptKey& key, const BackendId& server)
{
    if (!m_attempts.count(key))
        return;
    Server& receiver = m_servers.at(server);
    const auto told = receiver.toldAt.find(key.first);
    const bool wasTold = told != receiver.toldAt.end() && told->second + ToldDelay <= m_now;
    receiver.arrivals.push_back({ m_now, key.first, startsOf(key.first, receiver), wasTold });
    if (accepts(receiver)) {
        at(TimeToBegin, [this, key, server] { beginAnswer(key, server); });
        return;
    }
    receiver.rejections.push_back({ m_now, receiver.retryAfter, key.first, startsOf(key.first, receiver) });
    at(NetworkDelay, [this, key, server] { reject(key, server); });
}

std::pair<int, int> LimitFleet::startsOf(std::size_t instance, const Server& server) const
{
    return { m_instances[instance].starts, server.starts };
}

bool LimitFleet::accepts(Server& server)
{
    if (server.capacity <= 0)
        return true;
    const double seconds = std::chrono::duration<double>(m_now - server.tokensAt).count();
    server.tokens = std::min(std::max(1.0, server.capacity / 4), server.tokens + seconds * server.capacity);
    server.tokensAt = m_now;
    if (server.tokens < 1)
        return false;
    server.tokens -= 1;
    return true;
}

ServerNotice LimitFleet::noticeOf(const Server& server, bool isRejection)
{
    const bool asksForBackoff = isRejection && server.retryAfter.count();
    return { server.limit, asksForBackoff ? std::optional(server.retryAfter) : std::nullopt, server.isLeaving,
        !isRejection };
}

void LimitFleet::postNotice(const AttemptKey& key, const BackendId& server, const ServerNotice& notice)
{
    const RunningAttempt& attempt = m_attempts.at(key);
    post(key.first, event::ServerNoticeSeen { server, attempt.serverStart, attempt.startedAt, notice });
}

void LimitFleet::reject(const AttemptKey& key, const BackendId& server)
{
    if (!m_attempts.count(key))
        return;
    postNotice(key, server, noticeOf(m_servers.at(server), true));
    m_attempts.erase(key);
    post(key.first, event::AttemptEnded { key.second, AttemptResult::NotRun, 503, "" });
}

void LimitFleet::beginAnswer(const AttemptKey& key, const BackendId& server)
{
    if (!m_attempts.count(key))
        return;
    const auto [instance, attempt] = key;
    Server& sender = m_servers.at(server);
    if (sender.limit)
        sender.toldAt.try_emplace(instance, m_now);
    else
        sender.toldAt.clear();
    if (sender.isLeaving)
        sender.toldOfLeavingAt.try_emplace(instance, m_now);
    postNotice(key, server, noticeOf(sender, false));
    if (random() < m_options.rejectionRate) {
        m_attempts.erase(key);
        post(instance, event::AttemptEnded { attempt, AttemptResult::NotRun, 503, "" });
        return;
    }
    post(instance, event::AnswerBegun { attempt });
    at(EventInterval, [this, key = key] { sendEvent(key); });
}

void LimitFleet::sendEvent(const AttemptKey& key)
{
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end())
        return;
    const auto [instance, attempt] = key;
    const RunningAttempt running = found->second;
    if (running.nextEventId <= running.lastEventId && m_options.path == "/draft/1") {
        ++found->second.nextEventId;
        post(instance, event::EventDelivered { attempt, running.nextEventId });
        at(EventInterval, [this, key = key] { sendEvent(key); });
        return;
    }
    m_attempts.erase(found);
    if (!running.breaksOff)
        finishCall(instance, running.call, true);
    const AttemptResult result = running.breaksOff ? AttemptResult::Broken : AttemptResult::Completed;
    post(instance, event::AttemptEnded { attempt, result, 200, "" });
}

std::size_t LimitFleet::peakArrivals(const std::string& server, TimePoint from, Duration span) const
{
    std::vector<TimePoint> times;
    for (const Arrival& arrival : m_servers.at(BackendId(server)).arrivals) {
        if (arrival.at >= from)
            times.push_back(arrival.at);
    }
    std::size_t peak = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= span)
            ++first;
        peak = std::max(peak, last - first + 1);
    }
    return peak;
}

double LimitFleet::worstExcess(const std::string& id, Duration settling, Duration span) const
{
    const Server& server = m_servers.at(BackendId(id));
    const double spanSeconds = std::chrono::duration<double>(span).count();
    double worst = -1e9;
    for (std::size_t first = 0; first < server.limits.size(); ++first) {
        if (!server.limits[first].second || (first && server.limits[first - 1].second))
            continue;
        std::size_t last = first;
        while (last + 1 < server.limits.size() && server.limits[last + 1].second)
            ++last;
        const TimePoint end = last + 1 < server.limits.size() ? server.limits[last + 1].first : m_now;
        std::vector<TimePoint> times;
        for (const Arrival& arrival : server.arrivals) {
            if (arrival.wasTold && arrival.at >= server.limits[first].first + settling && arrival.at < end)
                times.push_back(arrival.at);
        }
        for (const TimePoint from : times) {
            double limit = 0;
            for (std::size_t i = first; i <= last; ++i) {
                const bool isOver = i < last && server.limits[i + 1].first + 2 * ToldDelay <= from;
                if (!isOver && server.limits[i].first < from + span)
                    limit = std::max(limit, *server.limits[i].second);
            }
            const auto count = std::count_if(
                times.begin(), times.end(), [&](TimePoint at) { return at >= from && at < from + span; });
            worst = std::max(worst, static_cast<double>(count) - (1.5 * limit * spanSeconds + 5));
        }
    }
    return worst;
}

std::size_t LimitFleet::mostDuringBackoff(const std::string& id) const
{
    const Server& server = m_servers.at(BackendId(id));
    std::size_t most = 0;
    for (const Rejection& rejection : server.rejections) {
        const TimePoint begin = rejection.at + ToldDelay;
        const TimePoint end = rejection.at + rejection.retryAfter;
        const auto count = std::count_if(server.arrivals.begin(), server.arrivals.end(), [&](const Arrival& each) {
            return each.instance == rejection.instance && each.starts == rejection.starts && each.at > begin
                && each.at < end;
        });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

std::size_t LimitFleet::arrivalsAfterLeaving(const std::string& id, Duration grace) const
{
    const Server& server = m_servers.at(BackendId(id));
    return static_cast<std::size_t>(
        std::count_if(server.arrivals.begin(), server.arrivals.end(), [&](const Arrival& each) {
            const auto told = server.toldOfLeavingAt.find(each.instance);
            return told != server.toldOfLeavingAt.end() && each.at > told->second + grace;
        }));
}

std::size_t LimitFleet::rejectedSince(const std::string& server, TimePoint from) const
{
    const auto& rejections = m_servers.at(BackendId(server)).rejections;
    return static_cast<std::size_t>(
        std::count_if(rejections.begin(), rejections.end(), [&](const auto& each) { return each.at >= from; }));
}

std::size_t LimitFleet::acceptedSince(const std::string& server, TimePoint from) const
{
    return arrivalsSince(server, from) - rejectedSince(server, from);
}

std::size_t LimitFleet::arrivalsSince(const std::string& server, TimePoint from) const
{
    const auto& arrivals = m_servers.at(BackendId(server)).arrivals;
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& each) { return each.at >= from; }));
}

} // namespace crocusmount::relay
