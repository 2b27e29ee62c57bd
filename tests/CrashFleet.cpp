#include "tests/CrashFleet.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration Step = milliseconds(5);
    constexpr Duration TickInterval = milliseconds(20);
    constexpr Duration TimeToBegin = milliseconds(60);
    constexpr Duration TimeToCrash = milliseconds(50);
    constexpr Duration EventInterval = milliseconds(40);
    constexpr std::uint64_t EventsOfStream = 40;
    /// An entry ends after three heartbeats without a word.
    constexpr Duration Lapse = milliseconds(3600);
    constexpr std::uint32_t Slots = 192;
    constexpr int TellingRounds = 3;
    constexpr Duration RoundInterval = milliseconds(150);
    /// Until what is written to the store is read by all.
    constexpr Duration StoreDelay = milliseconds(500);

} // namespace

CrashFleet::CrashFleet(Options options)
    : m_options(options)
{
    for (std::size_t i = 0; i < 2 * options.enginesPerHalf; ++i) {
        const bool first = i < options.enginesPerHalf;
        Engine engine;
        engine.entry = RelayHarness::engine("e" + std::to_string(i) + "-0", first ? 0 : 4, first ? 4 : 8);
        engine.entry.address = "10.0.1." + std::to_string(i) + ":80";
        engine.entry.slots = Slots;
        m_engines.push_back(engine);
    }
    m_instances.resize(options.instances);
    for (std::size_t i = 0; i < options.instances; ++i)
        start(i);
}

void CrashFleet::start(std::size_t instance)
{
    RelayOptions options;
    options.dataCentre = DataCentreId("z");
    m_instances[instance].reducer = std::make_unique<RelayReducer>(options);
    post(instance, event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
    post(instance, event::InstancesCounted { static_cast<std::uint32_t>(m_instances.size()) });
    for (const RequestIdentity& request : m_written)
        post(instance, event::QuarantineListed { request });
    for (const Engine& engine : m_engines) {
        if (engine.listed)
            post(instance, event::ServerRegistered { engine.entry });
    }
}

std::uint64_t CrashFleet::random()
{
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    return m_random >> 16U;
}

void CrashFleet::post(std::size_t instance, RelayEventBody body)
{
    RelayEffects effects;
    m_instances[instance].reducer->reduce({ m_now, random(), std::move(body) }, effects);
    apply(instance, effects);
}

void CrashFleet::later(Duration wait, std::size_t instance, RelayEventBody body)
{
    m_messages.push_back({ m_now + wait, instance, std::move(body) });
}

/// As instances do: at once, and in the next two rounds, since a message may be lost.
void CrashFleet::tellOthers(std::size_t instance, const RelayEventBody& body)
{
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        for (int round = 0; round < TellingRounds && other != instance; ++round) {
            const bool lost = static_cast<double>(random() % 1000) < 1000 * m_options.lostMessages;
            const Duration wait = Step + round * RoundInterval;
            if (!lost && m_now + wait >= m_instances[other].deafUntil)
                later(wait, other, body);
        }
    }
}

void CrashFleet::apply(std::size_t instance, const RelayEffects& effects)
{
    for (const RelayEffect& effect : effects) {
        if (const auto* crashes = std::get_if<effect::ShareCrashes>(&effect)) {
            tellOthers(instance, event::CrashesReported { crashes->crashes });
        } else if (const auto* finding = std::get_if<effect::ShareFinding>(&effect)) {
            if (finding->finding == effect::ShareFinding::Finding::Dead)
                tellOthers(instance, event::EnginesReportedDead { { engineKey(finding->engine, finding->startedAt) } });
        } else if (const auto* sound = std::get_if<effect::ShareSoundRequest>(&effect)) {
            tellOthers(instance, event::SoundRequestsReported { { sound->request } });
        } else if (const auto* verdict = std::get_if<effect::QuarantineRequest>(&effect)) {
            if (m_written.insert(verdict->request).second) {
                for (std::size_t each = 0; each < m_instances.size(); ++each)
                    later(StoreDelay, each, event::QuarantineListed { verdict->request });
            }
        } else if (const auto* started = std::get_if<effect::StartAttempt>(&effect)) {
            on(instance, *started);
        } else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&effect)) {
            m_runs.erase({ instance, cancelled->attempt });
        } else if (const auto* check = std::get_if<effect::CheckEngine>(&effect)) {
            const Engine* engine = engineOf(check->engine);
            event::EngineChecked answer;
            answer.engine = check->engine;
            answer.answered = engine && engine->up;
            answer.refused = !answer.answered && m_options.resets;
            answer.asked = check->startedAt;
            later(answer.answered || answer.refused ? Step : milliseconds(80), instance, answer);
        } else if (const auto* reroute = std::get_if<effect::RerouteAttempt>(&effect)) {
            const auto run = m_runs.find({ instance, reroute->attempt });
            const bool accepted = run != m_runs.end() && allUp(reroute->chain);
            if (accepted) {
                run->second.chain = reroute->chain;
                run->second.silent = false;
                run->second.nextAt = m_now + TimeToBegin;
            }
            later(Step, instance, event::RerouteAnswered { reroute->attempt, accepted });
        } else if (const auto* refused = std::get_if<effect::Refuse>(&effect)) {
            answered(instance, refused->call, refused->run == RunState::NotRun && !refused->retryAfter.count());
        } else if (const auto* broken = std::get_if<effect::BreakAnswer>(&effect)) {
            answered(instance, broken->call, false);
        }
    }
}

void CrashFleet::answered(std::size_t instance, RequestId call, bool forGood)
{
    auto& open = m_instances[instance].open;
    const auto found = open.find(call);
    if (found == open.end())
        return;
    Tally& tally = tallyOf(found->second);
    ++(forGood ? tally.refusedForGood : tally.failed);
    open.erase(found);
}

void CrashFleet::on(std::size_t instance, const effect::StartAttempt& started)
{
    Running run;
    run.instance = instance;
    run.call = started.call;
    run.chain = started.chain;
    const auto open = m_instances[instance].open.find(started.call);
    run.crashes = open == m_instances[instance].open.end() ? -1 : open->second;
    run.sentAt = m_now;
    run.next = started.resumeAfter.value_or(0) + 1;
    Engine* engine = engineOf(started.server);
    if (!engine || !engine->up) {
        later(Step, instance, event::AttemptEnded { started.attempt, AttemptResult::ConnectFailed, 0, "" });
        return;
    }
    tallyOf(run.crashes).reached.push_back(m_now);
    later(Step, instance, event::AttemptSent { started.attempt });
    m_runs[{ instance, started.attempt }] = run;
}

void CrashFleet::send(std::size_t instance, int crashes)
{
    const RequestId id(m_nextCall++);
    CallSpec spec;
    spec.host = "h.example";
    spec.path = "/draft/1";
    spec.key = "key";
    spec.patience = std::chrono::seconds(20);
    spec.promptTokens = 100;
    spec.maxAnswerTokens = 50;
    if (crashes >= 0) {
        spec.content.bytes[0] = 1;
        spec.content.bytes[1] = static_cast<std::uint8_t>(crashes);
    } else {
        for (std::size_t i = 0; i < sizeof(m_nextSound); ++i)
            spec.content.bytes.at(i + 1) = static_cast<std::uint8_t>(m_nextSound >> (8 * i));
        ++m_nextSound;
    }
    ++tallyOf(crashes).sent;
    m_instances[instance].open[id] = crashes;
    post(instance, event::CallArrived { id, spec });
}

void CrashFleet::sendSound(std::size_t instance) { send(instance, -1); }

void CrashFleet::sendCrashing(std::size_t instance, std::uint8_t which) { send(instance, which); }

CrashFleet::Engine* CrashFleet::engineOf(const BackendId& id)
{
    const auto found
        = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& each) { return each.entry.id == id; });
    return found == m_engines.end() ? nullptr : &*found;
}

bool CrashFleet::allUp(const Chain& chain)
{
    return std::all_of(chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) {
        const Engine* engine = engineOf(hop.backend);
        return engine && engine->up;
    });
}

void CrashFleet::crash(Engine& engine)
{
    engine.up = false;
    engine.changesAt = m_now + m_options.downFor;
    engine.lapsesAt = m_now + Lapse;
    std::vector<std::pair<RunKey, Running>> ended;
    for (auto& [key, run] : m_runs) {
        if (!run.chain.contains(engine.entry.id))
            continue;
        const bool isFirst = run.chain.hops().front().backend == engine.entry.id;
        if (isFirst && m_options.resets)
            ended.emplace_back(key, run);
        else
            run.silent = true;
    }
    for (const auto& [key, run] : ended) {
        m_runs.erase(key);
        later(Step, key.first, event::AttemptEnded { key.second, AttemptResult::Broken, run.begunAt ? 200U : 0U, "" });
    }
}

void CrashFleet::crashGroup(std::size_t count, bool first)
{
    const std::size_t begin = first ? 0 : m_options.enginesPerHalf;
    for (std::size_t i = begin; i < begin + count; ++i) {
        if (m_engines.at(i).up)
            crash(m_engines[i]);
    }
}

void CrashFleet::restart(std::size_t instance)
{
    std::erase_if(m_runs, [&](const auto& each) { return each.first.first == instance; });
    std::erase_if(m_messages, [&](const Message& message) { return message.instance == instance; });
    for (const auto& [call, crashes] : std::exchange(m_instances[instance].open, {}))
        ++tallyOf(crashes).failed;
    start(instance);
}

void CrashFleet::cutOff(std::size_t instance, Duration until) { m_instances.at(instance).deafUntil = m_start + until; }

void CrashFleet::stepEngines()
{
    for (Engine& engine : m_engines) {
        if (engine.up)
            continue;
        if (engine.listed && m_now >= engine.lapsesAt) {
            engine.listed = false;
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                post(i, event::ServerUnregistered { engine.entry.id });
        }
        if (m_now < engine.changesAt)
            continue;
        engine.up = engine.listed = true;
        const std::string name = engine.entry.id.value().substr(0, engine.entry.id.value().find('-'));
        engine.entry.id = BackendId(name + "-" + std::to_string(++engine.starts));
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            post(i, event::ServerRegistered { engine.entry });
    }
}

void CrashFleet::stepRuns()
{
    std::vector<RunKey> keys;
    for (const auto& [key, run] : m_runs)
        keys.push_back(key);
    for (const RunKey& key : keys) {
        const auto found = m_runs.find(key);
        if (found == m_runs.end() || found->second.silent)
            continue;
        Running& run = found->second;
        if (!run.begunAt) {
            if (m_now < run.sentAt + TimeToBegin)
                continue;
            run.begunAt = m_now;
            run.nextAt = m_now + EventInterval;
            post(key.first, event::AnswerBegun { key.second });
            continue;
        }
        if (run.crashes >= 0) {
            if (m_now < *run.begunAt + TimeToCrash)
                continue;
            tallyOf(run.crashes).crashes.push_back(m_now);
            if (Engine* engine = engineOf(run.chain.hops().front().backend); engine && engine->up)
                crash(*engine);
            continue;
        }
        if (m_now < run.nextAt)
            continue;
        run.nextAt = m_now + EventInterval;
        const std::uint64_t next = run.next++;
        const RequestId call = run.call;
        post(key.first, event::EventDelivered { key.second, next });
        if (next < EventsOfStream)
            continue;
        m_runs.erase(key);
        m_instances[key.first].open.erase(call);
        ++m_sound.completed;
        post(key.first, event::AttemptEnded { key.second, AttemptResult::Completed, 200, "" });
    }
}

void CrashFleet::step()
{
    m_now += Step;
    std::deque<Message> due;
    std::erase_if(m_messages, [&](const Message& message) {
        if (message.at <= m_now)
            due.push_back(message);
        return message.at <= m_now;
    });
    for (const Message& message : due)
        post(message.instance, message.body);
    stepEngines();
    stepRuns();
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

std::size_t CrashFleet::reachedAfterThird(std::uint8_t which, Duration later)
{
    const Tally& tally = m_crashing[which];
    if (tally.crashes.size() < 3)
        return 0;
    const TimePoint from = tally.crashes[2] + later;
    return static_cast<std::size_t>(
        std::count_if(tally.reached.begin(), tally.reached.end(), [&](TimePoint at) { return at > from; }));
}

} // namespace crocusmount::relay
