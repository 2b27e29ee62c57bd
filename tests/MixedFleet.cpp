#include "tests/MixedFleet.h"

#include "planning/LayerPlanner.h"
#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>
#include <cmath>

namespace crocusmount::relay {

namespace {

    constexpr Duration RetryInterval = std::chrono::milliseconds(20);
    constexpr Duration LoadRound = std::chrono::milliseconds(300);
    constexpr std::size_t MaxRejections = 3;
    constexpr double ActivationBytes = 24600;
    constexpr std::uint32_t Slots = 192;

    Duration fromMs(double ms) { return Duration(static_cast<std::int64_t>(ms * 1000)); }

} // namespace

EngineModel MixedFleet::model()
{
    EngineModel model;
    model.model = "m";
    model.layers = 80;
    model.layerMb = 1750;
    model.kvBytesPerToken = 492000;
    model.stepMs = 1.02;
    model.stride = 4;
    model.loadSeconds = 14;
    model.usualTokens = 983;
    model.kinds = { { "large", 72000, 2.4, 3.2 }, { "medium", 14400, 5.3, 7.9 }, { "small", 21600, 16, 8.2 } };
    EngineTimes times;
    times.streamMs = 0.00382;
    times.contextMsPerToken = 0.00512e-3;
    times.readMsPerToken = 1 / 196.0;
    times.readMsPerPair = 0.166e-6;
    times.tokensReadPerStep = 512;
    times.usualPromptTokens = 774;
    times.usualAnswerTokens = 209;
    times.crossingMsPerToken = ActivationBytes * 8 / 7680e3;
    times.crossingDelayMs = 0.75;
    model.times = times;
    return model;
}

ServiceConfiguration MixedFleet::configuration()
{
    ServiceConfiguration made;
    made.version = 1;
    Route route;
    route.id = RouteId("r");
    route.host = "h.example";
    route.prefix = "/r/";
    route.kind = CallKind::ResumableStream;
    route.objective = std::chrono::milliseconds(500);
    route.pauseLimit = std::chrono::milliseconds(250);
    route.timeout = std::chrono::seconds(20);
    route.split.push_back({ ServiceId("model"), 1 });
    made.routes = { route };
    made.services = { { ServiceId("model"), model() } };
    return made;
}

std::vector<RegisteredServer> MixedFleet::engines()
{
    const struct {
        const char* dataCentre;
        int counts[3]; ///< by kind
    } dataCentres[] = { { "a", { 4, 13, 12 } }, { "b", { 3, 20, 14 } }, { "c", { 2, 15, 10 } } };
    const EngineModel model = MixedFleet::model();
    std::vector<RegisteredServer> servers;
    std::vector<LayerPlanner::Engine> planned;
    for (const auto& dataCentre : dataCentres) {
        for (std::size_t kind = 0; kind < 3; ++kind) {
            for (int i = 0; i < dataCentre.counts[kind]; ++i) {
                RegisteredServer server;
                const std::string& accelerator = model.kinds[kind].name;
                server.id = BackendId(std::string(dataCentre.dataCentre) + "-" + accelerator + std::to_string(i));
                server.service = ServiceId("model");
                server.address = server.id.value() + ":80";
                server.dataCentre = DataCentreId(dataCentre.dataCentre);
                server.accelerator = accelerator;
                server.slots = Slots;
                LayerPlanner::Engine engine;
                engine.id = server.id;
                engine.dataCentre = server.dataCentre;
                engine.accelerator = accelerator;
                engine.slots = Slots;
                servers.push_back(server);
                planned.push_back(engine);
            }
        }
    }
    for (const auto& order : LayerPlanner::plan(model, planned)) {
        for (RegisteredServer& server : servers) {
            if (server.id == order.engine)
                server.layers = order.layers;
        }
    }
    return servers;
}

MixedFleet::MixedFleet(Options options)
    : m_options(std::move(options))
    , m_model(model())
    , m_routes(RouteTable::make(configuration()))
    , m_instances(m_options.instances)
{
    const char* const dataCentres[] = { "a", "b", "c" };
    for (const RegisteredServer& entry : engines()) {
        Engine engine;
        engine.entry = entry;
        engine.kind = m_model.kind(entry.accelerator);
        m_engines.push_back(std::move(engine));
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance& instance = m_instances[i];
        instance.options.dataCentre = DataCentreId(dataCentres[i % 3]);
        instance.options.without = m_options.without;
        instance.placer = std::make_unique<CallPlacer>(instance.options, instance.fleet);
        instance.placer->setInstances(static_cast<std::uint32_t>(m_instances.size()));
        for (const Engine& engine : m_engines)
            instance.fleet.upsert(engine.entry, m_now);
        instance.fleet.setOthersLoad(EngineLoads(), m_now);
    }
}

double MixedFleet::uniformFractionOf(std::uint64_t use) const { return uniformFraction(m_options.seed, use); }

void MixedFleet::at(TimePoint due, std::function<void()> action)
{
    m_actions.push({ std::max(due, m_now), ++m_sequence, std::move(action) });
}

MixedFleet::Result MixedFleet::run(Duration warmUp, Duration counted)
{
    m_countFrom = m_now + warmUp;
    m_countUntil = m_countFrom + counted;
    // Streams that arrive at the end need time to show their pauses.
    const TimePoint end = m_countUntil + std::chrono::seconds(4);
    at(m_now, [this] { arrive(); });
    at(m_now, [this] { exchangeLoads(); });
    while (!m_actions.empty() && m_actions.top().at <= end) {
        const Action next = m_actions.top();
        m_actions.pop();
        m_now = next.at;
        next.run();
    }
    for (const Stream& stream : m_streams) {
        if (stream.isCounted && stream.isRunning)
            m_result.late += !stream.isRead || m_now - stream.lastEventAt > *stream.call.route->pauseLimit;
    }
    std::size_t busiest = 0;
    std::size_t total = 0;
    for (const Engine& engine : m_engines) {
        busiest = std::max(busiest, engine.arrivals);
        total += engine.arrivals;
    }
    m_result.busiestShare = static_cast<double>(busiest * m_engines.size()) / static_cast<double>(total);
    m_result.meanEventMs = m_eventMsSum / static_cast<double>(std::max<std::size_t>(1, m_events));
    return m_result;
}

void MixedFleet::arrive()
{
    at(m_now + fromMs(-std::log(1 - random()) * 1000 / m_options.callsPerSecond), [this] { arrive(); });
    Stream stream;
    stream.instance = static_cast<std::size_t>(random() * static_cast<double>(m_instances.size()));
    stream.promptTokens = std::ceil(774 * (0.25 + 1.5 * random()));
    stream.answerTokens = std::ceil(209 * (0.1 + 1.8 * random()));
    stream.isCounted = m_now >= m_countFrom && m_now < m_countUntil;
    Call& call = stream.call;
    call.id = RequestId(m_streams.size() + 1);
    call.routes = m_routes;
    call.route = &m_routes->configuration().routes.front();
    call.service = ServiceId("model");
    call.spec.promptTokens = static_cast<std::uint32_t>(stream.promptTokens);
    call.tokens = stream.promptTokens + 209;
    call.arrived = m_now;
    m_result.calls += stream.isCounted;
    m_streams.push_back(std::move(stream));
    place(m_streams.size() - 1, m_now + std::chrono::milliseconds(250));
}

void MixedFleet::place(std::size_t id, TimePoint giveUpAt)
{
    Stream& stream = m_streams[id];
    Instance& instance = m_instances[stream.instance];
    const auto entropy = static_cast<std::uint64_t>(random() * 1e18);
    const auto placement = instance.placer->place(stream.call, m_now, entropy);
    if (placement)
        start(id, *placement, giveUpAt);
    else if (m_now >= giveUpAt)
        refuse(stream);
    else
        at(m_now + RetryInterval, [=, this] { place(id, giveUpAt); });
}

const MixedFleet::Engine* MixedFleet::fullEngine(const Stream& stream, const Chain& chain) const
{
    for (std::size_t i = 0; i < stream.engines.size(); ++i) {
        const Engine& engine = m_engines[stream.engines[i]];
        const double needed = stream.promptTokens * chain.hops()[i].layers.size();
        const double capacity = m_model.kvTokenLayers(*engine.kind, engine.entry.layers.size());
        if (engine.tokenLayers + needed > capacity || (i == 0 && engine.calls >= engine.entry.slots))
            return &engine;
    }
    return nullptr;
}

void MixedFleet::start(std::size_t id, const Placement& placement, TimePoint giveUpAt)
{
    Stream& stream = m_streams[id];
    stream.engines.clear();
    for (const Hop& hop : placement.chain.hops()) {
        const auto engine = std::find_if(
            m_engines.begin(), m_engines.end(), [&](const Engine& each) { return each.entry.id == hop.backend; });
        stream.engines.push_back(static_cast<std::size_t>(engine - m_engines.begin()));
    }
    Engine& first = m_engines[stream.engines.front()];
    ++first.arrivals;
    m_result.arrivals += stream.isCounted;
    if (const Engine* full = fullEngine(stream, placement.chain)) {
        m_result.rejected += stream.isCounted;
        reject(id, full->entry.id, giveUpAt);
        return;
    }
    m_instances[stream.instance].fleet.book(placement.chain, stream.call.tokens);
    stream.call.main.chain = placement.chain;
    ++first.calls;
    stream.isRunning = true;
    for (std::size_t i = 0; i < stream.engines.size(); ++i)
        m_engines[stream.engines[i]].tokenLayers += stream.promptTokens * placement.chain.hops()[i].layers.size();
    stream.stage = 0;
    stream.unreadTokens = stream.promptTokens;
    enterStage(id);
}

void MixedFleet::reject(std::size_t id, const BackendId& server, TimePoint giveUpAt)
{
    Stream& stream = m_streams[id];
    m_instances[stream.instance].fleet.recordRejection(server, m_now);
    stream.call.addAvoided(server);
    if (++stream.call.rejections >= MaxRejections)
        refuse(stream);
    else
        at(m_now + std::chrono::milliseconds(2), [=, this] { place(id, giveUpAt); });
}

void MixedFleet::refuse(Stream& stream)
{
    m_result.refused += stream.isCounted;
    m_result.late += stream.isCounted;
}

void MixedFleet::enterStage(std::size_t id)
{
    const Stream& stream = m_streams[id];
    const std::size_t engine = stream.engines[stream.stage];
    (stream.isRead ? m_engines[engine].waitingEvents : m_engines[engine].waitingPrompts).push_back(id);
    if (!m_engines[engine].isBusy)
        startPass(engine);
}

void MixedFleet::startPass(std::size_t index)
{
    Engine& engine = m_engines[index];
    const EngineTimes& times = *m_model.times;
    const std::vector<std::size_t> ran = std::exchange(engine.waitingEvents, {});
    const double steps = ran.empty() ? 1 : m_model.stride;
    double stepMs = m_model.stepMs;
    std::uint32_t layers = 0;
    for (const std::size_t id : ran) {
        const Stream& stream = m_streams[id];
        stepMs += times.streamMs + times.contextMsPerToken * (stream.promptTokens + stream.madeTokens);
        layers = std::max(layers, stream.call.main.chain.hops()[stream.stage].layers.size());
    }
    double readTokens = steps * times.tokensReadPerStep;
    double readMs = 0;
    std::vector<std::size_t> read;
    for (const std::size_t id : engine.waitingPrompts) {
        Stream& stream = m_streams[id];
        const double tokens = std::min(readTokens, stream.unreadTokens);
        const double readBefore = stream.promptTokens - stream.unreadTokens;
        readMs += tokens * (times.readMsPerToken + times.readMsPerPair * (readBefore + tokens / 2));
        readTokens -= tokens;
        stream.unreadTokens -= tokens;
        layers = std::max(layers, stream.call.main.chain.hops()[stream.stage].layers.size());
        if (stream.unreadTokens <= 0)
            read.push_back(id);
        if (readTokens <= 0)
            break;
    }
    std::erase_if(engine.waitingPrompts, [&](std::size_t id) { return m_streams[id].unreadTokens <= 0; });
    const double share = static_cast<double>(layers) / m_model.layers;
    const double passMs
        = ((ran.empty() ? 0 : steps * stepMs * engine.kind->stepFactor) + readMs * engine.kind->readFactor) * share;
    engine.isBusy = true;
    at(m_now + fromMs(passMs), [=, this] { finishPass(index, ran, read); });
}

void MixedFleet::finishPass(
    std::size_t index, const std::vector<std::size_t>& ran, const std::vector<std::size_t>& read)
{
    m_engines[index].isBusy = false;
    for (const std::size_t id : ran)
        passOn(id, m_model.stride);
    for (const std::size_t id : read)
        passOn(id, m_streams[id].promptTokens);
    Engine& engine = m_engines[index];
    if (!engine.isBusy && !(engine.waitingEvents.empty() && engine.waitingPrompts.empty()))
        startPass(index);
}

/// Passes the activations of some tokens on to the next stage. After the last one, an event is complete.
void MixedFleet::passOn(std::size_t id, double tokens)
{
    Stream& stream = m_streams[id];
    const Engine& from = m_engines[stream.engines[stream.stage]];
    if (++stream.stage == stream.engines.size()) {
        makeEvent(id);
        return;
    }
    stream.unreadTokens = stream.promptTokens;
    const Engine& to = m_engines[stream.engines[stream.stage]];
    if (from.entry.dataCentre == to.entry.dataCentre) {
        enterStage(id);
        return;
    }
    m_result.crossedBytes += stream.isCounted ? tokens * ActivationBytes : 0;
    m_pipeFreeAt = std::max(m_pipeFreeAt, m_now) + fromMs(tokens * m_model.times->crossingMsPerToken);
    at(m_pipeFreeAt + fromMs(m_model.times->crossingDelayMs), [=, this] { enterStage(id); });
}

void MixedFleet::makeEvent(std::size_t id)
{
    Stream& stream = m_streams[id];
    if (!stream.isRead) {
        stream.isRead = true;
        stream.isFirstLate = m_now - stream.call.arrived > stream.call.route->objective;
    } else {
        const Duration pause = m_now - stream.lastEventAt;
        stream.longestPause = std::max(stream.longestPause, pause);
        if (stream.isCounted) {
            m_eventMsSum += std::chrono::duration<double, std::milli>(pause).count();
            ++m_events;
        }
    }
    stream.lastEventAt = m_now;
    stream.madeTokens += m_model.stride;
    for (std::size_t i = 0; i < stream.engines.size(); ++i)
        m_engines[stream.engines[i]].tokenLayers += m_model.stride * stream.call.main.chain.hops()[i].layers.size();
    if (stream.madeTokens >= stream.answerTokens) {
        end(id);
        return;
    }
    stream.stage = 0;
    enterStage(id);
}

void MixedFleet::end(std::size_t id)
{
    Stream& stream = m_streams[id];
    stream.isRunning = false;
    const Chain& chain = stream.call.main.chain;
    m_instances[stream.instance].fleet.unbook(chain, stream.call.tokens);
    --m_engines[stream.engines.front()].calls;
    for (std::size_t i = 0; i < stream.engines.size(); ++i) {
        m_engines[stream.engines[i]].tokenLayers
            -= (stream.promptTokens + stream.madeTokens) * chain.hops()[i].layers.size();
    }
    if (!stream.isCounted)
        return;
    const bool isPauseLate = stream.longestPause > *stream.call.route->pauseLimit;
    m_result.late += stream.isFirstLate || isPauseLate;
    m_result.latePauses += !stream.isFirstLate && isPauseLate;
}

/// Tells each instance the load of the others as of the last round.
void MixedFleet::exchangeLoads()
{
    std::vector<std::vector<EngineLoad>> own;
    EngineLoads total;
    for (Instance& instance : m_instances) {
        own.push_back(instance.fleet.ownLoads(m_now));
        for (const EngineLoad& load : own.back()) {
            EngineLoad& sum = total[load.engine];
            sum.engine = load.engine;
            sum.tokenLayers += load.tokenLayers;
            sum.calls += load.calls;
        }
    }
    at(m_now + LoadRound / 2, [this, own, total] {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            EngineLoads others = total;
            for (const EngineLoad& load : own[i]) {
                others[load.engine].tokenLayers -= load.tokenLayers;
                others[load.engine].calls -= load.calls;
            }
            m_instances[i].fleet.setOthersLoad(others, m_now);
        }
    });
    at(m_now + LoadRound, [this] { exchangeLoads(); });
}

} // namespace crocusmount::relay
