#include "tests/ReturningFleet.h"

#include "relay/ScaledDuration.h"

#include <cmath>
#include <cstring>
#include <numeric>
#include <utility>

namespace crocusmount::relay {

namespace {

    constexpr Duration TickInterval = std::chrono::milliseconds(50);
    constexpr Duration RoundInterval = std::chrono::milliseconds(150);
    constexpr Duration ReturnDelay = std::chrono::milliseconds(20);
    constexpr Duration CallerTimeout = std::chrono::seconds(20);
    constexpr double MeanStreamSeconds = 2;
    constexpr double UsualFirstEventSeconds = 0.1;
    /// Time added to the first event for each further share of the room in use.
    constexpr double OverloadSeconds = 3;
    /// Share of the room at which calls are rejected.
    constexpr double RejectedAt = 1.15;
    constexpr int EngineCount = 6;

} // namespace

ReturningFleet::ReturningFleet(Options options)
    : m_options(std::move(options))
    , m_open(m_options.instances)
    , m_randomState(m_options.seed)
    , m_callsPerSecond(60 + 1.8 * static_cast<double>(m_options.instances))
{
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        RelayOptions relay;
        relay.dataCentre = DataCentreId("z");
        relay.without = m_options.without;
        m_instances.push_back(std::make_unique<RelayReducer>(relay));
        post(i, event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
        post(i, event::InstancesCounted { static_cast<std::uint32_t>(m_options.instances) });
        for (int engine = 0; engine < EngineCount; ++engine) {
            const bool isFirst = engine % 2 == 0;
            auto server = RelayHarness::engine(
                std::string(1, static_cast<char>('a' + engine)), isFirst ? 0 : 4, isFirst ? 4 : 8);
            server.slots = 4096;
            post(i, event::ServerRegistered { server });
        }
        post(i, event::LoadsReported { EngineLoads() });
        at(scaled(TickInterval, random()), [this, i] { tick(i); });
    }
}

double ReturningFleet::random()
{
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(m_randomState >> 11U) / 9007199254740992.0; // 2^53
}

void ReturningFleet::at(Duration delay, std::function<void()> action)
{
    m_actions.emplace(m_now + delay, std::move(action));
}

void ReturningFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

/// Passes on the promises of a round, which reach the other instances two rounds later.
void ReturningFleet::shareReturns()
{
    at(RoundInterval, [this] { shareReturns(); });
    if (m_newReturns.empty())
        return;
    at(2 * RoundInterval, [this, returns = std::exchange(m_newReturns, {})] {
        for (std::size_t i = 0; i < m_options.instances; ++i) {
            if (random() >= m_options.lostNews)
                post(i, event::LoadsReported { EngineLoads(), returns });
        }
    });
}

void ReturningFleet::play()
{
    shareReturns();
    setDemand(m_options.usualDemand);
    sendCalls();
    run(std::chrono::seconds(10));
    setDemand(m_options.peakDemand);
    run(m_options.peak);
    setDemand(m_options.usualDemand);
    run(std::chrono::seconds(12));
}

void ReturningFleet::sendCalls()
{
    ++m_callCount;
    send({ random() < m_options.ignoringShare, false, false, m_now + CallerTimeout, m_nextCall });
    const double seconds = -std::log(1 - random()) / (m_demand * m_callsPerSecond);
    at(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { sendCalls(); });
}

void ReturningFleet::send(const Caller& caller)
{
    const auto instance = static_cast<std::size_t>(random() * static_cast<double>(m_options.instances));
    const RequestId id(m_nextCall++);
    CallSpec spec;
    spec.host = "h.example";
    spec.path = "/draft/1";
    spec.key = "key";
    spec.callerTimeout = caller.deadline - m_now;
    spec.promptTokens = 20;
    spec.maxAnswerTokens = 5;
    std::memcpy(spec.content.bytes.data(), &caller.content, sizeof(caller.content));
    m_open[instance][id] = caller;
    post(instance, event::CallArrived { id, spec });
}

void ReturningFleet::tick(std::size_t instance)
{
    post(instance, event::Tick {});
    const double served = 0.25 * 1.1 * m_callsPerSecond / static_cast<double>(m_options.instances);
    m_worstQueueExcess
        = std::max(m_worstQueueExcess, static_cast<double>(m_instances[instance]->waitingCalls()) - served);
    at(TickInterval, [this, instance] { tick(instance); });
}

void ReturningFleet::post(std::size_t instance, RelayEventBody body)
{
    RelayEffects effects;
    const auto entropy = static_cast<std::uint64_t>(random() * 1e18);
    m_instances[instance]->reduce({ m_now, entropy, std::move(body) }, effects);
    for (const RelayEffect& effect : effects) {
        if (const auto* started = std::get_if<effect::StartAttempt>(&effect)) {
            start(instance, *started);
        } else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&effect)) {
            m_attempts.erase({ instance, cancelled->attempt });
        } else if (const auto* check = std::get_if<effect::CheckEngine>(&effect)) {
            at(ReturnDelay, [this, instance, engine = check->engine] {
                post(instance, event::EngineChecked { engine, true });
            });
        } else if (const auto* share = std::get_if<effect::ShareReturn>(&effect)) {
            m_newReturns.push_back(share->promise);
        } else if (const auto* refusal = std::get_if<effect::Refuse>(&effect)) {
            refused(instance, *refusal);
        }
    }
}

void ReturningFleet::start(std::size_t instance, const effect::StartAttempt& started)
{
    const double use = static_cast<double>(m_attempts.size()) / (m_callsPerSecond * MeanStreamSeconds);
    const AttemptId attempt = started.attempt;
    m_peakUse = std::max(m_peakUse, use);
    if (use >= RejectedAt) {
        at(std::chrono::milliseconds(2), [this, instance, attempt] {
            post(instance, event::AttemptSent { attempt });
            post(instance, event::AttemptEnded { attempt, AttemptResult::NotRun, 503, "" });
        });
        return;
    }
    m_attempts[{ instance, attempt }] = started.call;
    const auto ifRunning = [this, instance, attempt](auto action) {
        return [this, instance, attempt, action] {
            if (m_attempts.count({ instance, attempt }))
                action();
        };
    };
    const double firstEvent = UsualFirstEventSeconds + OverloadSeconds * std::max(0.0, use - 1);
    at(std::chrono::milliseconds(2), ifRunning([this, instance, attempt] {
        post(instance, event::AttemptSent { attempt });
        post(instance, event::AnswerBegun { attempt });
    }));
    // Events pass often enough that no stream counts as stalled.
    const double length = MeanStreamSeconds * (0.5 + random());
    std::uint64_t number = 1;
    for (double seconds = firstEvent; seconds < length; seconds += 0.2, ++number) {
        at(Duration(static_cast<std::int64_t>(seconds * 1e6)), ifRunning([this, instance, attempt, number] {
            post(instance, event::EventDelivered { attempt, number });
        }));
    }
    at(Duration(static_cast<std::int64_t>(length * 1e6)),
        ifRunning([this, instance, attempt] { finish(instance, attempt, AttemptResult::Completed); }));
}

void ReturningFleet::finish(std::size_t instance, AttemptId attempt, AttemptResult result)
{
    const auto ended = m_attempts.extract({ instance, attempt });
    m_open[instance].erase(ended.mapped());
    ++m_completed;
    post(instance, event::AttemptEnded { attempt, result, 200, "" });
}

void ReturningFleet::refused(std::size_t instance, const effect::Refuse& refusal)
{
    const auto found = m_open[instance].extract(refusal.call);
    if (found.empty())
        return;
    Caller caller = found.mapped();
    if (caller.hasReturned) {
        ++(caller.wasTold ? m_keeping : m_ignoring).refusedAgain;
        return;
    }
    if (!refusal.retryAfter.count()) {
        ++m_toldUseless;
        return;
    }
    caller.hasReturned = true;
    caller.wasTold = !caller.isIgnoring;
    ++(caller.wasTold ? m_keeping : m_ignoring).told;
    at((caller.wasTold ? refusal.retryAfter : Duration(0)) + ReturnDelay, [this, caller] { send(caller); });
}

std::size_t ReturningFleet::waitedTooLong() const
{
    return std::accumulate(
        m_instances.begin(), m_instances.end(), std::size_t(0), [](std::size_t sum, const auto& each) {
            return sum + each->counters().shortages.at(static_cast<std::size_t>(ShortageCause::WaitedTooLong));
        });
}

std::size_t ReturningFleet::shortages() const
{
    return std::accumulate(
        m_instances.begin(), m_instances.end(), std::size_t(0), [](std::size_t sum, const auto& each) {
            const auto& causes = each->counters().shortages;
            return std::accumulate(causes.begin(), causes.end(), sum);
        });
}

} // namespace crocusmount::relay
