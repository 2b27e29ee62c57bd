#include "tests/StartFleet.h"

#include <algorithm>
#include <cstring>

namespace crocusmount::relay {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration TickInterval = milliseconds(20);
    constexpr Duration Patience = seconds(2);
    constexpr Duration Timeout = seconds(20);
    constexpr Duration Objective = milliseconds(500);
    constexpr Duration ReadTime = milliseconds(20);
    constexpr Duration FirstEventDelay = milliseconds(80);
    constexpr Duration EventInterval = milliseconds(300);
    constexpr std::uint64_t EventsPerStream = 10;
    constexpr std::uint32_t SlotsPerEngine = 48;
    constexpr Duration RoundInterval = milliseconds(150);
    /// Usual demand, as a share of what the engines carry.
    constexpr double UsualUse = 0.55;

    /// @return engines of each half of the layers
    std::size_t enginesOfHalf(std::size_t instances) { return std::clamp<std::size_t>(instances / 5, 4, 24); }

} // namespace

StartFleet::StartFleet(Options options)
    : m_options(std::move(options))
    , m_hasRead(m_options.instances)
    , m_returnAt(m_now + m_options.silence)
    , m_endAt(m_returnAt + seconds(8))
    , m_randomState(m_options.seed * 7919)
{
    for (std::size_t i = 0; i < enginesOfHalf(m_options.instances); ++i) {
        for (const bool isFirst : { true, false }) {
            RegisteredServer entry
                = RelayHarness::engine((isFirst ? "e" : "f") + std::to_string(i), isFirst ? 0 : 4, isFirst ? 4 : 8);
            entry.address = "10.0.1." + std::to_string(m_engines.size()) + ":80";
            entry.slots = SlotsPerEngine;
            m_engines[entry.id].entry = entry;
        }
    }
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        RelayOptions relay;
        relay.dataCentre = DataCentreId("z");
        relay.without = m_options.without;
        m_instances.push_back(std::make_unique<RelayReducer>(relay));
        at(randomTime(TickInterval), [this, i] { tick(i); });
    }
    at(Duration(0), [this] { makeRequest(); });
    at(m_options.silence, [this] { returnStore(); });
    for (std::size_t i = 0; m_options.isGoneAgain && i < m_options.instances; i += 3)
        at(m_options.silence - seconds(1) + randomTime(milliseconds(100)), [this, i] { readStore(i); });
}

void StartFleet::at(Duration delay, std::function<void()> action)
{
    m_actions.emplace(m_now + delay, std::move(action));
}

void StartFleet::play()
{
    while (!m_actions.empty() && m_actions.begin()->first <= m_endAt) {
        const auto next = m_actions.extract(m_actions.begin());
        m_now = next.key();
        next.mapped()();
    }
}

// ---- The store and the instances -----------------------------------------------------------------------------------

void StartFleet::returnStore()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const bool isLate = random() < m_options.lateShare;
        at(randomTime(milliseconds(150)) + (isLate ? seconds(2) : seconds(0)), [this, i] { readStore(i); });
    }
    for (const auto& [id, engine] : m_engines) {
        at(m_options.listDelay + randomTime(milliseconds(150)), [this, entry = engine.entry] {
            m_listed[entry.id] = entry;
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (m_hasRead[i])
                    post(i, event::ServerRegistered { entry });
            }
        });
    }
    at(milliseconds(500), [this] { exchangeLoads(); });
}

void StartFleet::readStore(std::size_t instance)
{
    post(instance, event::StoreCopyChecked { m_now < m_returnAt });
    if (m_hasRead[instance])
        return;
    m_hasRead[instance] = true;
    post(instance, event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
    post(instance, event::InstancesCounted { 1 });
    const auto all = static_cast<std::uint32_t>(m_instances.size());
    at(milliseconds(100), [=, this] { post(instance, event::InstancesCounted { all * 2 / 3 }); });
    at(milliseconds(250), [=, this] { post(instance, event::InstancesCounted { all }); });
    for (const auto& [id, entry] : m_listed)
        post(instance, event::ServerRegistered { entry });
}

void StartFleet::exchangeLoads()
{
    EngineLoads sum;
    std::vector<std::vector<EngineLoad>> own;
    for (const auto& instance : m_instances) {
        own.push_back(instance->ownLoads(m_now));
        for (const EngineLoad& load : own.back()) {
            EngineLoad& total = sum[load.engine];
            total.engine = load.engine;
            total.tokenLayers += load.tokenLayers;
            total.calls += load.calls;
            total.avoiders += load.avoiders;
            total.contacts += load.contacts;
        }
    }
    for (std::size_t i = m_options.deafInstances; i < m_instances.size(); ++i) {
        if (!m_hasRead[i])
            continue;
        EngineLoads others = sum;
        for (const EngineLoad& load : own[i]) {
            EngineLoad& total = others[load.engine];
            total.tokenLayers -= load.tokenLayers;
            total.calls -= load.calls;
            total.avoiders -= load.avoiders;
            total.contacts -= load.contacts;
        }
        post(i, event::LoadsReported { std::move(others) });
    }
    at(RoundInterval, [this] { exchangeLoads(); });
}

void StartFleet::tick(std::size_t instance)
{
    post(instance, event::Tick {});
    at(TickInterval, [this, instance] { tick(instance); });
}

void StartFleet::post(std::size_t instance, RelayEventBody body)
{
    RelayEffects effects;
    const auto entropy = static_cast<std::uint64_t>(random() * 9007199254740992.0) * 2048; // 2^53 * 2^11
    m_instances[instance]->reduce({ m_now, entropy, std::move(body) }, effects);
    apply(instance, effects);
}

void StartFleet::apply(std::size_t instance, const RelayEffects& effects)
{
    for (const RelayEffect& each : effects) {
        if (const auto* begun = std::get_if<effect::StartAttempt>(&each)) {
            start(instance, *begun);
        } else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&each)) {
            endStream({ instance, cancelled->attempt });
        } else if (const auto* refusal = std::get_if<effect::Refuse>(&each)) {
            refused(*refusal);
        } else if (const auto* check = std::get_if<effect::CheckEngine>(&each)) {
            const Engine& engine = m_engines.at(check->engine);
            event::EngineChecked answer { check->engine, true };
            answer.layers = engine.entry.layers;
            answer.memoryUsed = static_cast<double>(engine.streams) / SlotsPerEngine;
            answer.queued = engine.streams >= SlotsPerEngine ? 1 : 0;
            at(milliseconds(2), [=, this] { post(instance, answer); });
        }
    }
}

// ---- Engines -------------------------------------------------------------------------------------------------------

void StartFleet::start(std::size_t instance, const effect::StartAttempt& begun)
{
    const AttemptKey key { instance, begun.attempt };
    Engine& first = m_engines.at(begun.server);
    m_tries.at(begun.call).isRunning = true;
    m_streams[key] = { begun.call, begun.server };
    ++first.streams;
    m_worstLoad = std::max(m_worstLoad, static_cast<double>(first.streams) / SlotsPerEngine);
    if (first.streams > SlotsPerEngine) {
        ++m_rejected[(m_now - m_returnAt).count() / 1000000];
        at(milliseconds(2), [=, this] {
            if (!m_streams.count(key))
                return;
            m_tries.at(m_streams.at(key).call).isRunning = false;
            endStream(key);
            post(instance, event::AttemptEnded { key.second, AttemptResult::NotRun, 503 });
        });
        return;
    }
    TimePoint read = m_now;
    for (const Hop& hop : begun.chain.hops()) {
        TimePoint& until = m_engines.at(hop.backend).readsUntil;
        until = std::max(until, read) + ReadTime / 2;
        read = until;
    }
    at(milliseconds(1), [=, this] {
        if (m_streams.count(key))
            post(instance, event::AttemptSent { key.second });
    });
    at(read - m_now + FirstEventDelay, [=, this] { sendEvent(key); });
}

void StartFleet::sendEvent(const AttemptKey& key)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end())
        return;
    const RequestId call = found->second.call;
    const std::uint64_t event = ++found->second.events;
    if (event == 1) {
        m_tries.at(call).hasEvent = true;
        Request& request = m_requests.at(m_tries.at(call).request);
        request.isInAim = request.isInAim || m_now <= request.madeAt + Objective;
        request.isAnswered = true;
        post(key.first, event::AnswerBegun { key.second });
    }
    post(key.first, event::EventDelivered { key.second, event });
    if (event < EventsPerStream) {
        at(EventInterval, [=, this] { sendEvent(key); });
        return;
    }
    endStream(key);
    post(key.first, event::AttemptEnded { key.second, AttemptResult::Completed, 200 });
}

void StartFleet::endStream(const AttemptKey& key)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end())
        return;
    --m_engines.at(found->second.first).streams;
    m_streams.erase(found);
}

// ---- Callers -------------------------------------------------------------------------------------------------------

void StartFleet::makeRequest()
{
    const RequestId id(m_nextId++);
    const bool isRepeater = random() < m_options.repeaterShare;
    m_requests[id] = { m_now, isRepeater ? 4U : 1U, isRepeater };
    makeTry(id);
    const double streamSeconds = std::chrono::duration<double>(EventInterval).count() * EventsPerStream;
    const double usual
        = UsualUse * static_cast<double>(SlotsPerEngine * enginesOfHalf(m_options.instances)) / streamSeconds;
    const double perSecond = usual * (m_now >= m_returnAt - seconds(1) ? m_options.peak : 1);
    at(Duration(static_cast<std::int64_t>(2e6 * random() / perSecond)), [this] { makeRequest(); });
}

void StartFleet::makeTry(RequestId request)
{
    const RequestId call(m_nextId++);
    const auto instance = static_cast<std::size_t>(random() * static_cast<double>(m_instances.size()));
    m_tries[call] = { request, instance };
    CallSpec spec;
    spec.host = "h.example";
    spec.path = "/draft/1";
    spec.key = "key";
    spec.callerTimeout = Timeout - (m_now - m_requests.at(request).madeAt);
    spec.promptTokens = 700;
    spec.maxAnswerTokens = 300;
    const std::uint64_t number = request.value();
    std::memcpy(spec.content.bytes.data(), &number, sizeof(number));
    at(Patience, [this, call] { leave(call); });
    post(instance, event::CallArrived { call, spec });
}

void StartFleet::leave(RequestId call)
{
    const auto found = m_tries.find(call);
    if (found == m_tries.end() || found->second.hasEvent)
        return;
    ++m_left;
    m_leftWhileHeld += found->second.isRunning ? 0 : 1;
    const std::size_t instance = found->second.instance;
    post(instance, event::CallerLeft { call });
    m_tries.erase(call);
}

void StartFleet::refused(const effect::Refuse& refusal)
{
    const auto found = m_tries.find(refusal.call);
    if (found == m_tries.end())
        return;
    const RequestId id = found->second.request;
    m_tries.erase(found);
    Request& request = m_requests.at(id);
    if (!request.triesLeft)
        return;
    --request.triesLeft;
    const Duration most = (request.madeAt + Timeout - m_now) / 3;
    at(request.isRepeater ? Duration(milliseconds(100)) : std::min(most, refusal.retryAfter),
        [this, id] { makeTry(id); });
}

// ---- Results -------------------------------------------------------------------------------------------------------

double StartFleet::shareInAim(Duration from, Duration to) const
{
    double made = 0;
    double inAim = 0;
    for (const auto& [id, request] : m_requests) {
        if (request.madeAt < m_returnAt + from || request.madeAt >= m_returnAt + to)
            continue;
        ++made;
        inAim += request.isInAim ? 1 : 0;
    }
    return made > 0 ? inAim / made : 0;
}

double StartFleet::answeredShare() const
{
    const auto answered
        = std::count_if(m_requests.begin(), m_requests.end(), [](const auto& each) { return each.second.isAnswered; });
    return static_cast<double>(answered) / static_cast<double>(std::max<std::size_t>(1, made()));
}

std::uint64_t StartFleet::holds(StartHoldEnd end) const
{
    std::uint64_t sum = 0;
    for (const auto& instance : m_instances)
        sum += instance->counters().startHolds.at(static_cast<std::size_t>(end));
    return sum;
}

std::string StartFleet::describe() const
{
    std::string text = std::to_string(m_options.instances) + " instances, silent "
        + std::to_string(m_options.silence.count() / 1000) + " ms, peak " + std::to_string(m_options.peak) + ", seed "
        + std::to_string(m_options.seed) + ": in aim";
    for (int second = 0; second < 7; ++second)
        text += " " + std::to_string(shareInAim(seconds(second), seconds(second + 1))).substr(0, 4);
    text += "; worst load " + std::to_string(m_worstLoad).substr(0, 4) + ", made " + std::to_string(made())
        + ", answered " + std::to_string(answeredShare()).substr(0, 4) + ", left " + std::to_string(m_left) + " (held "
        + std::to_string(m_leftWhileHeld) + "), rejected by second";
    for (const auto& [second, count] : m_rejected)
        text += " " + std::to_string(second) + ":" + std::to_string(count);
    for (std::size_t end = 0; end < StartHoldEndCount; ++end)
        text += std::string(", ") + toString(static_cast<StartHoldEnd>(end)) + " "
            + std::to_string(holds(static_cast<StartHoldEnd>(end)));
    return text;
}

double StartFleet::random()
{
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(m_randomState >> 11U) / 9007199254740992.0; // 2^53
}

Duration StartFleet::randomTime(Duration most)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(most.count()) * random()));
}

} // namespace crocusmount::relay
