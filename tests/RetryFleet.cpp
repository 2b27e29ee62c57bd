#include "tests/RetryFleet.h"

#include "tests/RelayHarness.h"

#include <algorithm>
#include <cstring>

namespace crocusmount::relay {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration TickInterval = milliseconds(50);
    /// From the decision on an attempt to its arrival at the server.
    constexpr Duration MaxConnectTime = milliseconds(30);
    constexpr Duration RunTime = milliseconds(20);
    /// From the start of a process until its entry is in the store.
    constexpr Duration RegistrationTime = milliseconds(300);
    /// An instance reads a change of the list within this time.
    constexpr Duration ListDelay = milliseconds(500);
    constexpr Duration LeaseLifetime = milliseconds(5000);
    /// A copy of the store is outdated if the store has not answered for this long.
    constexpr Duration MaxAnswerAge = milliseconds(1500);
    constexpr std::size_t Servers = 4;

} // namespace

RetryFleet::RetryFleet(Options options)
    : m_options(options)
    , m_randomState(options.seed)
{
    m_instances.resize(m_options.instances);
    for (std::size_t i = 0; i < m_options.instances; ++i)
        start(i);
    at(Duration(0), [this] { sendCall(); });
}

void RetryFleet::at(Duration delay, std::function<void()> action)
{
    m_actions.emplace(m_now + delay, std::move(action));
}

double RetryFleet::random()
{
    m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(m_randomState >> 11U) / 9007199254740992.0; // 2^53
}

Duration RetryFleet::randomUpTo(Duration most)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(most.count()) * random()));
}

void RetryFleet::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

void RetryFleet::start(std::size_t instance)
{
    RelayOptions options;
    options.dataCentre = DataCentreId("z");
    options.setRetryLimits(m_options.ratio, m_options.slack, m_options.window);
    Instance& started = m_instances[instance];
    started.reducer = std::make_unique<RelayReducer>(options);
    started.heardAt = TimePoint();
    const int number = ++started.starts;
    post(instance, event::StoreCopyChecked { true });
    post(instance, event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
    for (std::size_t i = 0; i < Servers; ++i) {
        RegisteredServer server = RelayHarness::plain("p" + std::to_string(i));
        server.address = "10.0.1." + std::to_string(i + 1) + ":80";
        server.slots = 1000000;
        post(instance, event::ServerRegistered { server });
    }
    post(instance, event::LoadsReported { EngineLoads() });
    at(randomUpTo(TickInterval), [this, instance, number] { tick(instance, number); });
    at(RegistrationTime, [this, instance, number] { registerSelf(instance, number); });
}

void RetryFleet::tick(std::size_t instance, int start)
{
    Instance& ticking = m_instances[instance];
    if (!ticking.reducer || ticking.starts != start)
        return;
    if (!ticking.isStoreSilent && ticking.heardAt != TimePoint())
        ticking.heardAt = m_now;
    post(instance, event::StoreCopyChecked { m_now - ticking.heardAt > MaxAnswerAge });
    post(instance, event::Tick {});
    at(TickInterval, [this, instance, start] { tick(instance, start); });
}

void RetryFleet::registerSelf(std::size_t instance, int start)
{
    Instance& registering = m_instances[instance];
    if (!registering.reducer || registering.starts != start)
        return;
    if (registering.isStoreSilent) {
        at(RegistrationTime, [this, instance, start] { registerSelf(instance, start); });
        return;
    }
    registering.isListed = true;
    publishList();
}

void RetryFleet::endLapsedEntry(std::size_t instance, int start)
{
    Instance& silent = m_instances[instance];
    const bool isAllSilent
        = std::all_of(m_instances.begin(), m_instances.end(), [](const Instance& each) { return each.isStoreSilent; });
    const bool isAlive = silent.reducer && !silent.isStoreSilent;
    if (silent.starts != start || isAlive || isAllSilent)
        return;
    silent.isListed = false;
    publishList();
}

void RetryFleet::publishList()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        at(randomUpTo(ListDelay), [this, i] { readList(i); });
}

void RetryFleet::readList(std::size_t instance)
{
    Instance& reader = m_instances[instance];
    if (!reader.reducer || reader.isStoreSilent)
        return;
    reader.heardAt = m_now;
    std::uint32_t count = 1;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        count += i != instance && m_instances[i].isListed ? 1 : 0;
    post(instance, event::InstancesCounted { count, reader.isListed });
}

void RetryFleet::kill(std::size_t count, Duration downtime)
{
    for (std::size_t i = 0; i < count; ++i)
        killOne(i, downtime);
}

void RetryFleet::killOne(std::size_t instance, Duration downtime)
{
    Instance& killed = m_instances[instance];
    if (!killed.reducer)
        return;
    m_deniedByEnded += killed.reducer->counters().retriesDenied.at(static_cast<std::size_t>(RetryLimit::Budget));
    killed.reducer.reset();
    at(LeaseLifetime, [this, instance, start = killed.starts] { endLapsedEntry(instance, start); });
    at(randomUpTo(2 * downtime), [this, instance] { start(instance); });
}

void RetryFleet::silenceStoreFor(std::size_t count)
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance& each = m_instances[i];
        const bool wasSilent = std::exchange(each.isStoreSilent, i < count);
        if (each.isStoreSilent && !wasSilent)
            at(LeaseLifetime, [this, i, start = each.starts] { endLapsedEntry(i, start); });
        if (!each.isStoreSilent && wasSilent) {
            at(randomUpTo(ListDelay), [this, i] { readList(i); });
            at(RegistrationTime, [this, i, start = each.starts] { registerSelf(i, start); });
        }
    }
}

void RetryFleet::sendCall()
{
    const auto instance = static_cast<std::size_t>(random() * static_cast<double>(m_instances.size()));
    const RequestId id(m_nextCall++);
    m_requests.push_back(m_now);
    CallSpec spec;
    spec.host = "h.example";
    spec.path = "/look/1";
    spec.key = "key";
    spec.callerTimeout = std::chrono::seconds(1);
    const std::uint64_t number = id.value();
    std::memcpy(spec.content.bytes.data(), &number, sizeof(number));
    post(instance, event::CallArrived { id, spec });
    at(Duration(static_cast<std::int64_t>(2e6 * random() / m_options.callsPerSecond)), [this] { sendCall(); });
}

void RetryFleet::post(std::size_t instance, RelayEventBody body)
{
    if (!m_instances[instance].reducer)
        return;
    RelayEffects effects;
    const auto entropy = static_cast<std::uint64_t>(random() * 1e18);
    m_instances[instance].reducer->reduce({ m_now, entropy, std::move(body) }, effects);
    for (const RelayEffect& effect : effects) {
        const auto* started = std::get_if<effect::StartAttempt>(&effect);
        if (!started)
            continue;
        at(randomUpTo(MaxConnectTime), [this, instance, attempt = *started, number = m_instances[instance].starts] {
            if (m_instances[instance].reducer && m_instances[instance].starts == number)
                arrive(instance, attempt);
        });
    }
}

void RetryFleet::arrive(std::size_t instance, const effect::StartAttempt& attempt)
{
    post(instance, event::AttemptSent { attempt.attempt });
    if (++m_arrivals[attempt.call] > 1)
        m_repeats.push_back(m_now);
    const bool fails = random() < m_failureRate;
    const auto result = fails ? AttemptResult::ServerFailure : AttemptResult::Completed;
    at(RunTime, [this, instance, id = attempt.attempt, result, start = m_instances[instance].starts] {
        if (m_instances[instance].starts == start)
            post(instance, event::AttemptEnded { id, result, result == AttemptResult::Completed ? 200U : 500U, "" });
    });
}

std::size_t RetryFleet::countBetween(const std::vector<TimePoint>& times, TimePoint from, TimePoint until) const
{
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    return static_cast<std::size_t>(std::distance(first, std::lower_bound(first, times.end(), until)));
}

RetryFleet::Window RetryFleet::tightestWindow() const
{
    const Duration span = m_options.window;
    Window tightest { Duration(0), 0, m_options.slack };
    for (const TimePoint from : m_repeats) {
        const std::size_t requests = std::max({ countBetween(m_requests, from, from + span),
            countBetween(m_requests, from - span / 2, from + span / 2), countBetween(m_requests, from - span, from) });
        const double allowed = m_options.ratio * static_cast<double>(requests) + m_options.slack;
        const std::size_t repeats = countBetween(m_repeats, from, from + span);
        if (static_cast<double>(repeats) - allowed > static_cast<double>(tightest.repeats) - tightest.allowed)
            tightest = { from - m_startedAt, repeats, allowed };
    }
    return tightest;
}

std::uint64_t RetryFleet::denied() const
{
    std::uint64_t denied = m_deniedByEnded;
    for (const Instance& each : m_instances) {
        if (each.reducer)
            denied += each.reducer->counters().retriesDenied.at(static_cast<std::size_t>(RetryLimit::Budget));
    }
    return denied;
}

} // namespace crocusmount::relay
