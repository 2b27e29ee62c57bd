#include "tests/CrashFleet.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration TimeStep = milliseconds(5);
    constexpr Duration TickInterval = milliseconds(20);
    /// From the start or reroute of an attempt to the beginning of its answer or its next event.
    constexpr Duration TimeToBegin = milliseconds(60);
    /// From the beginning of a crashing request's answer to the crash of the engine.
    constexpr Duration TimeToCrash = milliseconds(50);
    /// Between two events of a stream.
    constexpr Duration EventInterval = milliseconds(40);
    constexpr std::uint64_t EventsPerStream = 40;
    /// A registry entry expires after three missed heartbeats.
    constexpr Duration EntryLifetime = milliseconds(3600);
    constexpr std::uint32_t SlotsPerEngine = 192;
    /// Number of times that each event for the other instances is sent.
    constexpr int BroadcastRounds = 3;
    constexpr Duration RoundInterval = milliseconds(150);
    /// Time until all instances have read a value that was written to the store.
    constexpr Duration StoreDelay = milliseconds(500);

    /// HTTP status of an engine that is not the one for which a request is.
    constexpr unsigned Misdirected = 421;

    std::string keyOf(std::size_t workspace) { return workspace ? "key" + std::to_string(workspace) : "key"; }

} // namespace

CrashFleet::CrashFleet(Options options)
    : m_options(options)
    , m_randomState(options.seed)
{
    for (std::size_t i = 0; i < 2 * options.enginesPerHalf; ++i) {
        const bool isFirstHalf = i < options.enginesPerHalf;
        Engine engine;
        engine.entry = RelayHarness::engine("e" + std::to_string(i) + "-0", isFirstHalf ? 0 : 4, isFirstHalf ? 4 : 8);
        engine.entry.address = "10.0.1." + std::to_string(i) + ":80";
        engine.entry.slots = SlotsPerEngine;
        engine.runningId = engine.entry.id;
        m_engines.push_back(engine);
    }
    m_instances.resize(options.instances);
    for (std::size_t i = 0; i < options.instances; ++i)
        startInstance(i);
}

ServiceConfiguration CrashFleet::configuration() const
{
    ServiceConfiguration made = RelayHarness::configuration();
    for (Service& service : made.services)
        service.healthPath = "/health";
    for (std::size_t i = 1; i < m_options.workspaces; ++i)
        made.workspaces.push_back({ WorkspaceId("w" + std::to_string(i)), { keyOf(i) }, std::nullopt });
    return made;
}

void CrashFleet::startInstance(std::size_t instance)
{
    RelayOptions options;
    options.dataCentre = DataCentreId("z");
    m_instances[instance].reducer = std::make_unique<RelayReducer>(options);
    post(instance, event::ConfigurationAccepted { RouteTable::make(configuration()) });
    post(instance, event::InstancesCounted { static_cast<std::uint32_t>(m_instances.size()) });
    for (const RequestTrait& trait : m_storedVerdicts)
        post(instance, event::QuarantineListed { trait });
    for (const Engine& engine : m_engines) {
        if (engine.isListed)
            post(instance, event::ServerRegistered { engine.entry });
    }
}

std::uint64_t CrashFleet::random()
{
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return m_randomState >> 16U;
}

void CrashFleet::post(std::size_t instance, RelayEventBody body)
{
    RelayEffects effects;
    m_instances[instance].reducer->reduce({ m_now, random(), std::move(body) }, effects);
    apply(instance, effects);
}

void CrashFleet::postLater(Duration delay, std::size_t instance, RelayEventBody body)
{
    m_messages.push_back({ m_now + delay, instance, std::move(body) });
}

/// Sends the event at once and again in the next two rounds, as real instances do because messages may be lost.
void CrashFleet::broadcast(std::size_t instance, const RelayEventBody& body)
{
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        for (int round = 0; round < BroadcastRounds && other != instance; ++round) {
            const bool isLost = static_cast<double>(random() % 1000) < 1000 * m_options.messageLossRate;
            const Duration delay = TimeStep + round * RoundInterval;
            if (!isLost && m_now + delay >= m_instances[other].isolatedUntil)
                postLater(delay, other, body);
        }
    }
}

void CrashFleet::apply(std::size_t instance, const RelayEffects& effects)
{
    for (const RelayEffect& effect : effects) {
        if (const auto* crashes = std::get_if<effect::ShareCrashes>(&effect)) {
            broadcast(instance, event::CrashesReported { crashes->crashes });
        } else if (const auto* finding = std::get_if<effect::ReportEngineState>(&effect)) {
            if (finding->finding == effect::ReportEngineState::Finding::Dead)
                broadcast(instance, event::EnginesReportedDead { { engineKey(finding->engine, finding->startedAt) } });
        } else if (const auto* runs = std::get_if<effect::ShareSoundRuns>(&effect)) {
            broadcast(instance, event::SoundRunsReported { runs->runs });
        } else if (const auto* verdict = std::get_if<effect::QuarantineTrait>(&effect)) {
            if (m_storedVerdicts.insert(verdict->trait).second) {
                for (std::size_t each = 0; each < m_instances.size(); ++each)
                    postLater(StoreDelay, each, event::QuarantineListed { verdict->trait });
            }
        } else if (const auto* cleared = std::get_if<effect::ClearTrait>(&effect)) {
            if (cleared->isOwn && cleared->endsQuarantine && m_storedVerdicts.erase(cleared->trait)) {
                for (std::size_t each = 0; each < m_instances.size(); ++each)
                    postLater(StoreDelay, each, event::QuarantineLifted { cleared->trait });
            }
        } else if (const auto* started = std::get_if<effect::StartAttempt>(&effect)) {
            on(instance, *started);
        } else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&effect)) {
            m_attempts.erase({ instance, cancelled->attempt });
        } else if (const auto* check = std::get_if<effect::CheckEngine>(&effect)) {
            event::EngineChecked answer;
            answer.engine = check->engine;
            answer.answered = findRunning(check->address); // A report does not name the engine.
            answer.refused = !answer.answered && m_options.crashResetsConnections;
            answer.asked = check->startedAt;
            postLater(answer.answered || answer.refused ? TimeStep : milliseconds(80), instance, answer);
        } else if (const auto* probe = std::get_if<effect::ProbeServer>(&effect)) {
            using Finding = event::ServerProbed::Finding;
            const Engine* engine = findRunning(probe->address);
            event::ServerProbed answer { probe->server, Finding::Unknown, engine != nullptr };
            if (engine)
                answer.finding = engine->runningId == probe->server ? Finding::Alive : Finding::Ended;
            else if (m_options.crashResetsConnections)
                answer.finding = Finding::Ended;
            postLater(answer.finding == Finding::Unknown ? milliseconds(150) : TimeStep, instance, answer);
        } else if (const auto* reroute = std::get_if<effect::RerouteAttempt>(&effect)) {
            const auto attempt = m_attempts.find({ instance, reroute->attempt });
            const bool accepted = attempt != m_attempts.end() && areAllUp(reroute->chain);
            if (accepted) {
                attempt->second.chain = reroute->chain;
                attempt->second.isSilent = false;
                if (attempt->second.begunAt)
                    attempt->second.begunAt = m_now;
                attempt->second.nextEventAt = m_now + TimeToBegin;
            }
            postLater(TimeStep, instance, event::RerouteAnswered { reroute->attempt, accepted });
        } else if (const auto* refused = std::get_if<effect::Refuse>(&effect)) {
            recordFailure(instance, refused->call, refused->run == RunState::NotRun && !refused->retryAfter.count());
        } else if (const auto* complete = std::get_if<effect::CompleteAnswer>(&effect)) {
            on(instance, *complete);
        } else if (const auto* broken = std::get_if<effect::BreakAnswer>(&effect)) {
            recordFailure(instance, broken->call, false);
        }
    }
}

void CrashFleet::on(std::size_t instance, const effect::CompleteAnswer& complete)
{
    Instance& owner = m_instances[instance];
    const auto found = owner.openCalls.find(complete.call);
    if (found == owner.openCalls.end())
        return;
    Tally& tally = tallyOf(found->second.crashingNumber);
    ++(owner.wholeStreams.count(complete.call) ? tally.completed : tally.completedTooEarly);
    owner.openCalls.erase(found);
}

void CrashFleet::recordFailure(std::size_t instance, RequestId call, bool isRefusedPermanently)
{
    auto& open = m_instances[instance].openCalls;
    const auto found = open.find(call);
    if (found == open.end())
        return;
    Tally& tally = tallyOf(found->second.crashingNumber);
    ++(isRefusedPermanently ? tally.refusedPermanently : tally.failed);
    open.erase(found);
}

void CrashFleet::on(std::size_t instance, const effect::StartAttempt& started)
{
    RunningAttempt attempt;
    attempt.instance = instance;
    attempt.call = started.call;
    attempt.chain = started.chain;
    const auto open = m_instances[instance].openCalls.find(started.call);
    if (open != m_instances[instance].openCalls.end()) {
        attempt.crashingNumber = open->second.crashingNumber;
        attempt.isFirst = !std::exchange(open->second.hasAttempt, true);
    }
    attempt.sentAt = m_now;
    attempt.nextEvent = started.resumeAfter.value_or(0) + 1;
    Engine* engine = findEngine(started.server);
    if (const Engine* running = findRunning(started.address); running && running->runningId != started.server) {
        postLater(TimeStep, instance, event::AttemptEnded { started.attempt, AttemptResult::NotRun, Misdirected, "" });
        return;
    }
    if (!engine || !engine->isUp) {
        postLater(TimeStep, instance, event::AttemptEnded { started.attempt, AttemptResult::ConnectFailed, 0, "" });
        return;
    }
    tallyOf(attempt.crashingNumber).attemptTimes.push_back(m_now);
    postLater(TimeStep, instance, event::AttemptSent { started.attempt });
    m_attempts[{ instance, started.attempt }] = attempt;
}

std::vector<PromptPartId> CrashFleet::promptParts(int partNumber)
{
    std::vector<PromptPartId> parts { PromptPartId("f1"),
        PromptPartId("b" + std::to_string(random() % m_options.subjects)) };
    if (partNumber >= 0) {
        const auto position = static_cast<std::ptrdiff_t>(std::min(m_options.crashingPartPosition, parts.size()));
        parts.insert(parts.begin() + position, PromptPartId("c" + std::to_string(partNumber)));
    }
    return parts;
}

void CrashFleet::send(std::size_t instance, int crashingNumber, std::size_t workspace, int partNumber)
{
    const RequestId id(m_nextCallId++);
    CallSpec spec;
    spec.host = "h.example";
    spec.path = "/draft/1";
    spec.key = keyOf(workspace);
    spec.callerTimeout = std::chrono::seconds(20);
    spec.promptTokens = 100;
    spec.maxAnswerTokens = 50;
    const bool isRepeat = crashingNumber >= 0 && m_options.crashCause == CrashCause::Content;
    if (isRepeat) {
        spec.content.bytes[0] = 1;
        spec.content.bytes[1] = static_cast<std::uint8_t>(crashingNumber);
    } else {
        for (std::size_t i = 0; i < sizeof(m_nextContent); ++i)
            spec.content.bytes.at(i + 1) = static_cast<std::uint8_t>(m_nextContent >> (8 * i));
        ++m_nextContent;
    }
    if (m_options.crashCause == CrashCause::PromptPart)
        spec.promptParts = promptParts(partNumber);
    ++tallyOf(crashingNumber).sent;
    m_instances[instance].openCalls[id] = { crashingNumber, m_now };
    post(instance, event::CallArrived { id, spec });
}

bool CrashFleet::isCrashing(const RunningAttempt& attempt) const
{
    return attempt.crashingNumber >= 0 && attempt.begunAt && *attempt.begunAt >= m_start + m_options.crashesFrom;
}

CrashFleet::Engine* CrashFleet::findEngine(const BackendId& id)
{
    const auto found
        = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& each) { return each.runningId == id; });
    return found == m_engines.end() ? nullptr : &*found;
}

const CrashFleet::Engine* CrashFleet::findRunning(const std::string& address) const
{
    const auto found = std::find_if(m_engines.begin(), m_engines.end(),
        [&](const Engine& each) { return each.entry.address == address && each.isUp; });
    return found == m_engines.end() ? nullptr : &*found;
}

bool CrashFleet::areAllUp(const Chain& chain)
{
    return std::all_of(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) {
        const Engine* engine = findEngine(hop.backend);
        return engine && engine->isUp;
    });
}

void CrashFleet::crash(Engine& engine)
{
    engine.isUp = false;
    engine.restartsAt = m_now + m_options.restartDelay;
    engine.entryExpiresAt = m_now + EntryLifetime;
    std::vector<std::pair<AttemptKey, RunningAttempt>> broken;
    for (auto& [key, attempt] : m_attempts) {
        if (!attempt.chain.contains(engine.runningId))
            continue;
        const bool isFirst = attempt.chain.hops().front().backend == engine.runningId;
        attempt.endsUnproven = m_options.streamsHaveNoLength && attempt.nextEvent > 1;
        if (isFirst && m_options.crashResetsConnections)
            broken.emplace_back(key, attempt);
        else
            attempt.isSilent = true;
    }
    for (const auto& [key, attempt] : broken) {
        m_attempts.erase(key);
        postLater(m_options.resetDelay, key.first,
            event::AttemptEnded { key.second, attempt.endsUnproven ? AttemptResult::Unproven : AttemptResult::Broken,
                attempt.begunAt ? 200U : 0U, "" });
    }
}

void CrashFleet::crashEngines(std::size_t count, bool isFirstHalf)
{
    const std::size_t begin = isFirstHalf ? 0 : m_options.enginesPerHalf;
    for (std::size_t i = begin; i < begin + count; ++i) {
        if (m_engines.at(i).isUp)
            crash(m_engines[i]);
    }
}

void CrashFleet::restart(std::size_t instance)
{
    std::erase_if(m_attempts, [&](const auto& each) { return each.first.first == instance; });
    std::erase_if(m_messages, [&](const Message& message) { return message.instance == instance; });
    for (const auto& [id, call] : std::exchange(m_instances[instance].openCalls, {}))
        ++tallyOf(call.crashingNumber).failed;
    startInstance(instance);
}

void CrashFleet::isolate(std::size_t instance, Duration until)
{
    m_instances.at(instance).isolatedUntil = m_start + until;
}

void CrashFleet::stepEngines()
{
    for (Engine& engine : m_engines) {
        const bool isListedAsEnded = engine.isListed && (!engine.isUp || engine.runningId != engine.entry.id);
        if (isListedAsEnded && m_now >= engine.entryExpiresAt) {
            engine.isListed = false;
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                post(i, event::ServerUnregistered { engine.entry.id });
        }
        if (!engine.isUp && m_now >= engine.restartsAt)
            start(engine);
        if (engine.isUp && engine.runningId != engine.entry.id && m_now >= engine.registersAt)
            list(engine);
    }
}

void CrashFleet::start(Engine& engine)
{
    const std::string name = engine.runningId.value().substr(0, engine.runningId.value().find('-'));
    engine.runningId = BackendId(name + "-" + std::to_string(++engine.startCount));
    engine.isUp = true;
    engine.registersAt = m_now + m_options.registrationDelay;
}

void CrashFleet::list(Engine& engine)
{
    engine.entry.id = engine.runningId;
    engine.isListed = true;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        post(i, event::ServerRegistered { engine.entry });
}

void CrashFleet::recordBegun(const RunningAttempt& attempt)
{
    const auto& open = m_instances[attempt.instance].openCalls;
    if (const auto call = open.find(attempt.call); attempt.isFirst && call != open.end())
        tallyOf(attempt.crashingNumber).begunAtFirstAttempt.push_back(call->second.arrivedAt);
}

void CrashFleet::stepAttempts()
{
    std::vector<AttemptKey> keys;
    for (const auto& [key, attempt] : m_attempts)
        keys.push_back(key);
    for (const AttemptKey& key : keys) {
        const auto found = m_attempts.find(key);
        if (found == m_attempts.end() || found->second.isSilent)
            continue;
        RunningAttempt& attempt = found->second;
        if (!attempt.begunAt) {
            if (m_now < attempt.sentAt + TimeToBegin)
                continue;
            attempt.begunAt = m_now;
            attempt.nextEventAt = m_now + EventInterval;
            recordBegun(attempt);
            post(key.first, event::AnswerBegun { key.second });
            continue;
        }
        if (isCrashing(attempt)) {
            if (m_now < *attempt.begunAt + TimeToCrash)
                continue;
            const Hop& hop = m_options.crashesLastStage ? attempt.chain.hops().back() : attempt.chain.hops().front();
            tallyOf(attempt.crashingNumber).crashTimes.push_back(m_now);
            if (Engine* engine = findEngine(hop.backend); engine && engine->isUp)
                crash(*engine);
            continue;
        }
        if (m_now < attempt.nextEventAt)
            continue;
        attempt.nextEventAt = m_now + EventInterval;
        const std::uint64_t next = attempt.nextEvent++;
        const RequestId call = attempt.call;
        if (next <= EventsPerStream)
            post(key.first, event::EventDelivered { key.second, next });
        if (next < EventsPerStream)
            continue;
        m_attempts.erase(key);
        if (m_options.streamsHaveNoLength) {
            m_instances[key.first].wholeStreams.insert(call);
            post(key.first, event::AttemptEnded { key.second, AttemptResult::Unproven, 200, "" });
            continue;
        }
        m_instances[key.first].openCalls.erase(call);
        ++tallyOf(attempt.crashingNumber).completed;
        post(key.first, event::AttemptEnded { key.second, AttemptResult::Completed, 200, "" });
    }
}

void CrashFleet::step()
{
    m_now += TimeStep;
    std::deque<Message> due;
    std::erase_if(m_messages, [&](const Message& message) {
        if (message.dueAt <= m_now)
            due.push_back(message);
        return message.dueAt <= m_now;
    });
    for (const Message& message : due)
        post(message.instance, message.body);
    stepEngines();
    stepAttempts();
    if (m_now < m_nextTick)
        return;
    m_nextTick = m_now + TickInterval;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        post(i, event::Tick {});
}

void CrashFleet::runUntil(Duration until)
{
    while (elapsed() < until)
        step();
}

std::size_t CrashFleet::attemptsAfterCrash(std::uint8_t number, std::size_t ordinal, Duration delay)
{
    const Tally& tally = m_crashingTallies[number];
    if (tally.crashTimes.size() < ordinal)
        return 0;
    const TimePoint from = tally.crashTimes[ordinal - 1] + delay;
    return static_cast<std::size_t>(
        std::count_if(tally.attemptTimes.begin(), tally.attemptTimes.end(), [&](TimePoint at) { return at > from; }));
}

std::size_t CrashFleet::harmlessBegunAtFirstAttempt(Duration from, Duration to) const
{
    const auto& times = m_harmlessTally.begunAtFirstAttempt;
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [&](TimePoint at) { return at >= m_start + from && at < m_start + to; }));
}

} // namespace crocusmount::relay
