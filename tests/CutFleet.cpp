#include "tests/CutFleet.h"

#include <algorithm>
#include <cstring>
#include <optional>

namespace crocusmount::relay {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration TickInterval = milliseconds(20);
    constexpr Duration RoundInterval = milliseconds(150);
    /// One way between two instances, or an instance and a server.
    constexpr Duration NetworkDelay = milliseconds(1);
    constexpr Duration ConnectTimeout = milliseconds(400);
    constexpr Duration CheckTimeout = milliseconds(80);
    /// From the arrival of a request at its server to the header of the answer.
    constexpr Duration TimeToBegin = milliseconds(40);
    constexpr Duration EventInterval = milliseconds(40);
    constexpr std::uint64_t EventsPerStream = 20;
    /// A stream that has not ended within this time has been held up.
    constexpr Duration MaxStreamTime = milliseconds(1500);
    constexpr std::uint32_t SlotsPerServer = 192;
    constexpr std::size_t CallerCount = 60;

} // namespace

struct CutFleet::Instance {
    std::string address;
    LoadPeer peer;
    InstanceRegistry registry;
    LoadExchange exchange;
    std::unique_ptr<RelayReducer> reducer;
    std::optional<CutKind> cut; ///< nothing while it reaches the servers
    TimePoint pausedUntil;

    Instance(net::io_context& context, LockStore& store, const InstanceRegistry::Entry& entry)
        : address(entry.address)
        , peer { InstanceId(entry.id), DataCentreId(entry.dataCentre), entry.id }
        , registry(context, store, store, entry)
        , exchange(peer)
    {
    }
};

CutFleet::CutFleet(Options options)
    : m_options(std::move(options))
    , m_randomState(m_options.seed)
{
    const auto add = [&](RegisteredServer server) {
        server.address = server.id.value() + ".example:80";
        server.slots = SlotsPerServer;
        m_servers[server.id] = server;
    };
    for (std::size_t i = 0; i < m_options.serversOfEachRole; ++i) {
        add(RelayHarness::engine("e" + std::to_string(i), 0, 4));
        add(RelayHarness::engine("f" + std::to_string(i), 4, 8));
        add(RelayHarness::plain("p" + std::to_string(i)));
    }
    std::vector<InstanceRegistry::Entry> entries;
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        const std::string port = std::to_string(1000 + i);
        entries.push_back(
            { "i" + port, "1.1.1.1:" + port, "z" + std::to_string(i % m_options.dataCentres), "1.1.1.1:" + port });
    }
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        m_instances.push_back(std::make_unique<Instance>(m_context, m_store, entries[i]));
        Instance& instance = *m_instances.back();
        RelayOptions relay;
        relay.without = m_options.without;
        relay.dataCentre = DataCentreId("z");
        instance.reducer = std::make_unique<RelayReducer>(relay);
        for (const InstanceRegistry::Entry& other : entries) {
            if (other.id == entries[i].id)
                continue;
            const std::string value = R"({"address":")" + other.address + R"(","data_centre":")" + other.dataCentre
                + R"(","peer_address":")" + other.peerAddress + R"("})";
            instance.registry.storeChanged({ { "crocusmount/instances/" + other.id, value, 1 }, false });
        }
        post(i, event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
        post(i, event::InstancesCounted { static_cast<std::uint32_t>(m_options.instances) });
        for (const auto& [id, server] : m_servers)
            post(i, event::ServerRegistered { server });
        at(TickInterval * i / m_options.instances, [this, i] { tick(i); });
        at(RoundInterval * i / m_options.instances, [this, i] { makeRound(i); });
    }
    for (std::size_t i = 0; i < CallerCount; ++i) {
        const bool isLong = static_cast<double>(i) < m_options.longCacheShare * CallerCount;
        m_callers.push_back({ {}, m_now, milliseconds(isLong ? 3000 : 1000) });
    }
    at(Duration(0), [this] { sendCall(); });
}

CutFleet::~CutFleet() = default;

const RelayReducer& CutFleet::reducer(std::size_t instance) const { return *m_instances.at(instance)->reducer; }

double CutFleet::random()
{
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(m_randomState >> 11U) / 9007199254740992.0; // 2^53
}

void CutFleet::at(Duration delay, std::function<void()> action) { m_actions.emplace(m_now + delay, std::move(action)); }

void CutFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

void CutFleet::cut(std::size_t count, CutKind kind)
{
    for (std::size_t i = 0; i < count; ++i)
        m_instances[i]->cut = kind;
    if (kind != CutKind::Reset)
        return;
    std::vector<AttemptKey> reset;
    for (const auto& [key, attempt] : m_attempts) {
        if (m_instances[key.first]->cut)
            reset.push_back(key);
    }
    for (const AttemptKey& key : reset)
        endAttempt(key, AttemptResult::Broken);
}

void CutFleet::cutDataCentre(std::size_t dataCentre, CutKind kind)
{
    for (std::size_t i = dataCentre; i < m_instances.size(); i += m_options.dataCentres)
        m_instances[i]->cut = kind;
}

void CutFleet::heal()
{
    for (const auto& instance : m_instances)
        instance->cut.reset();
}

void CutFleet::unlist(std::size_t instance)
{
    m_instances[instance]->exchange.setLeaving(true);
    const std::string& id = m_instances[instance]->peer.id.value();
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        if (other != instance)
            m_instances[other]->registry.storeChanged({ { "crocusmount/instances/" + id, "", 2 }, true });
    }
}

void CutFleet::freeze(const std::vector<std::string>& servers, Duration span)
{
    for (const std::string& id : servers)
        m_frozenUntil[BackendId(id)] = m_now + span;
}

void CutFleet::pause(std::size_t instance, Duration span) { m_instances[instance]->pausedUntil = m_now + span; }

void CutFleet::endAllServers()
{
    m_areServersEnded = true;
    const auto attempts = m_attempts;
    for (const auto& [key, attempt] : attempts)
        endAttempt(key, AttemptResult::Broken);
}

bool CutFleet::isSilent(const BackendId& id) const
{
    const auto frozen = m_frozenUntil.find(id);
    return m_areServersEnded || (frozen != m_frozenUntil.end() && m_now < frozen->second);
}

bool CutFleet::isSilent(const Chain& chain) const
{
    return std::any_of(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) { return isSilent(hop.backend); });
}

void CutFleet::post(std::size_t instance, RelayEventBody body)
{
    if (const TimePoint until = m_instances[instance]->pausedUntil; m_now < until) {
        at(until - m_now, [this, instance, body = std::move(body)] { post(instance, body); });
        return;
    }
    RelayEffects effects;
    const auto entropy = static_cast<std::uint64_t>(random() * 1e18);
    m_instances[instance]->reducer->reduce({ m_now, entropy, std::move(body) }, effects);
    apply(instance, effects);
}

void CutFleet::apply(std::size_t instance, const RelayEffects& effects)
{
    for (const RelayEffect& effect : effects) {
        if (const auto* started = std::get_if<effect::StartAttempt>(&effect)) {
            start(instance, *started);
        } else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&effect)) {
            m_attempts.erase({ instance, cancelled->attempt });
        } else if (const auto* checked = std::get_if<effect::CheckEngine>(&effect)) {
            check(instance, *checked);
        } else if (const auto* probed = std::get_if<effect::ProbeServer>(&effect)) {
            probe(instance, *probed);
        } else if (const auto* query = std::get_if<effect::AskStalledStage>(&effect)) {
            at(CheckTimeout, [this, instance, attempt = query->attempt] {
                post(instance, event::StalledStageReported { attempt, {} });
            });
        } else if (const auto* order = std::get_if<effect::RerouteAttempt>(&effect)) {
            at(CheckTimeout, [this, instance, attempt = order->attempt] {
                post(instance, event::RerouteAnswered { attempt, false });
            });
        } else if (const auto* report = std::get_if<effect::ReportEngineState>(&effect)) {
            m_deadReports += report->finding == effect::ReportEngineState::Finding::Dead ? 1 : 0;
            const std::uint64_t key = engineKey(report->engine, report->startedAt);
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != instance)
                    at(NetworkDelay, [this, other, key] { post(other, event::EnginesReportedDead { { key } }); });
            }
        } else if (const auto* crashes = std::get_if<effect::ShareCrashes>(&effect)) {
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != instance)
                    at(NetworkDelay,
                        [this, other, reports = crashes->crashes] { post(other, event::CrashesReported { reports }); });
            }
        } else if (const auto* refused = std::get_if<effect::Refuse>(&effect)) {
            finish(instance, refused->call, false, refused->run);
        } else if (const auto* broken = std::get_if<effect::BreakAnswer>(&effect)) {
            finish(instance, broken->call, false, RunState::MayHaveRun);
        }
    }
}

void CutFleet::start(std::size_t instance, const effect::StartAttempt& started)
{
    const AttemptKey key { instance, started.attempt };
    m_attempts[key] = { started.call, started.server, started.chain, started.resumeAfter.value_or(0) + 1 };
    const auto& cut = m_instances[instance]->cut;
    if (m_areServersEnded || (cut && *cut != CutKind::Hang)) {
        const bool isReset = !m_areServersEnded && *cut == CutKind::Reset;
        at(2 * NetworkDelay, [this, key, isReset] {
            endAttempt(key, AttemptResult::ConnectFailed, isReset ? ConnectFailure::Reset : ConnectFailure::Refused);
        });
        return;
    }
    if (cut) {
        at(ConnectTimeout, [this, key] { endAttempt(key, AttemptResult::ConnectFailed, ConnectFailure::TimedOut); });
        return;
    }
    at(2 * NetworkDelay, [this, key] {
        if (!m_attempts.count(key))
            return;
        post(key.first, event::AttemptSent { key.second });
        if (!m_attempts.count(key))
            return;
        Try& run = m_tries[m_attempts.at(key).call];
        m_ranTwice += ++run.runs > 1 && m_options.path == "/book/1" ? 1 : 0;
        at(TimeToBegin, [this, key] { beginAnswer(key); });
    });
}

void CutFleet::beginAnswer(const AttemptKey& key)
{
    const auto attempt = m_attempts.find(key);
    if (attempt == m_attempts.end())
        return;
    const auto& cut = m_instances[key.first]->cut;
    if (isSilent(attempt->second.server) || isSilent(attempt->second.chain) || (cut && *cut == CutKind::Hang)) {
        at(EventInterval, [this, key] { beginAnswer(key); });
        return;
    }
    post(key.first, event::AnswerBegun { key.second });
    if (attempt->second.chain.hops().empty())
        endAttempt(key, AttemptResult::Completed);
    else
        at(EventInterval, [this, key] { sendEvent(key); });
}

void CutFleet::sendEvent(const AttemptKey& key)
{
    const auto attempt = m_attempts.find(key);
    if (attempt == m_attempts.end())
        return;
    const auto& cut = m_instances[key.first]->cut;
    const bool isHeldUp = isSilent(attempt->second.chain) || (cut && *cut == CutKind::Hang);
    if (!isHeldUp) {
        const std::uint64_t id = attempt->second.nextEventId++;
        post(key.first, event::EventDelivered { key.second, id });
        if (!m_attempts.count(key))
            return;
        if (id >= EventsPerStream) {
            endAttempt(key, AttemptResult::Completed);
            return;
        }
    }
    at(EventInterval, [this, key] { sendEvent(key); });
}

void CutFleet::endAttempt(const AttemptKey& key, AttemptResult result, ConnectFailure failure)
{
    const auto attempt = m_attempts.extract(key);
    if (attempt.empty())
        return;
    if (result == AttemptResult::Completed)
        finish(key.first, attempt.mapped().call, true, RunState::MayHaveRun);
    event::AttemptEnded ended { key.second, result };
    ended.connectFailure = failure;
    post(key.first, ended);
}

void CutFleet::check(std::size_t instance, const effect::CheckEngine& check)
{
    ++m_checks;
    const auto& cut = m_instances[instance]->cut;
    const bool isRefused = m_areServersEnded || (cut && *cut == CutKind::RefuseNew);
    const bool isLost = isSilent(check.engine) || cut;
    event::EngineChecked checked { check.engine, !isLost, 1, isRefused, check.startedAt };
    at(isLost && !isRefused ? CheckTimeout : 2 * NetworkDelay, [this, instance, checked] { post(instance, checked); });
}

void CutFleet::probe(std::size_t instance, const effect::ProbeServer& probe)
{
    ++m_checks;
    using Finding = event::ServerProbed::Finding;
    const auto& cut = m_instances[instance]->cut;
    const bool isRefused = m_areServersEnded || (cut && *cut == CutKind::RefuseNew);
    const Finding finding = isRefused   ? Finding::Ended
        : isSilent(probe.server) || cut ? Finding::Unknown
                                        : Finding::Alive;
    at(finding == Finding::Unknown ? CheckTimeout : 2 * NetworkDelay,
        [this, instance, probed = event::ServerProbed { probe.server, finding, finding == Finding::Alive }] {
            post(instance, probed);
        });
}

void CutFleet::finish(std::size_t instance, RequestId call, bool isServed, RunState run)
{
    (void)instance;
    Try& sent = m_tries[call];
    if (!sent.isOpen)
        return;
    sent.isOpen = false;
    sent.isServed = isServed;
    m_falselyNotRun += !isServed && run == RunState::NotRun && sent.runs ? 1 : 0;
}

void CutFleet::sendCall()
{
    Caller& caller = m_callers[static_cast<std::size_t>(random() * static_cast<double>(m_callers.size()))];
    if (m_now >= caller.expiresAt) {
        const auto asked = static_cast<std::size_t>(random() * static_cast<double>(m_instances.size()));
        caller.addresses = m_instances[asked]->registry.callerAddresses();
        caller.expiresAt = m_now + caller.cacheLifetime;
    }
    if (!caller.addresses.empty()) {
        const auto chosen = static_cast<std::size_t>(random() * static_cast<double>(caller.addresses.size()));
        std::size_t instance = 0;
        while (m_instances[instance]->address != caller.addresses[chosen])
            ++instance;
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
        m_tries[id] = { m_now, instance, m_instances[instance]->cut.has_value() };
        post(instance, event::CallArrived { id, spec });
    }
    // The time between two calls varies, so that the calls do not fall into step with the ticks.
    at(Duration(static_cast<std::int64_t>(2e6 * random() / m_options.callsPerSecond)), [this] { sendCall(); });
}

void CutFleet::tick(std::size_t instance)
{
    post(instance, event::Tick {});
    at(TickInterval, [this, instance] { tick(instance); });
}

/// Does what PeerLink does in a round.
void CutFleet::makeRound(std::size_t index)
{
    Instance& instance = *m_instances[index];
    if (m_now < instance.pausedUntil) {
        at(instance.pausedUntil - m_now, [this, index] { makeRound(index); });
        return;
    }
    std::vector<LoadPeer> peers;
    for (const InstanceRegistry::Entry& other : instance.registry.others())
        peers.push_back({ InstanceId(other.id), DataCentreId(other.dataCentre), other.id });
    instance.exchange.setPeers(std::move(peers), m_now);
    instance.exchange.setCutOff(instance.reducer->isCutOff());
    for (auto& outgoing : instance.exchange.makeRound(instance.reducer->ownLoads(m_now), m_now)) {
        const std::size_t to = std::stoul(outgoing.address.substr(1)) - 1000;
        at(NetworkDelay,
            [this, to, report = std::move(outgoing.report)] { m_instances[to]->exchange.receive(report, m_now); });
    }
    instance.registry.setSilentInstances(instance.exchange.silentInstances(m_now));
    instance.registry.setCutOffInstances(instance.exchange.cutOffInstances(m_now));
    post(index, event::LoadsReported { instance.exchange.loadOfOthers(m_now) });
    at(RoundInterval, [this, index] { makeRound(index); });
}

CutFleet::FirstTries CutFleet::firstTries(TimePoint from, bool atCutOff) const
{
    FirstTries tries;
    for (const auto& [id, each] : m_tries) {
        if (each.at < from || each.wasCutOff != atCutOff)
            continue;
        ++tries.sent;
        const bool isUnderWay = each.isOpen && !atCutOff && m_now < each.at + MaxStreamTime;
        tries.served += each.isServed || isUnderWay ? 1 : 0;
    }
    return tries;
}

std::size_t CutFleet::directorySize(std::size_t instance) const
{
    return m_instances.at(instance)->registry.callerAddresses().size();
}

bool CutFleet::isNamed(std::size_t byInstance, std::size_t other) const
{
    const auto addresses = m_instances.at(byInstance)->registry.callerAddresses();
    return std::find(addresses.begin(), addresses.end(), m_instances.at(other)->address) != addresses.end();
}

std::size_t CutFleet::quarantined() const
{
    std::size_t count = 0;
    for (const auto& instance : m_instances)
        count += instance->reducer->quarantine().quarantinedCount(m_now);
    return count;
}

} // namespace crocusmount::relay
