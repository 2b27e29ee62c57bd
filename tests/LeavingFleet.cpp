#include "tests/LeavingFleet.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    constexpr Duration EventGap = std::chrono::milliseconds(40);
    constexpr Duration Step = std::chrono::milliseconds(10);

} // namespace

LeavingFleet::LeavingFleet(Options options)
    : m_options(std::move(options))
    , m_harness(m_options.relay)
    , m_rejectionsLeft(m_options.rejections)
{
}

void LeavingFleet::begin(std::uint32_t streams)
{
    for (std::uint32_t i = 0; i < streams; ++i) {
        m_harness.call("/draft/1");
        follow();
        run(Step);
    }
    run(m_options.reading + EventGap);
}

void LeavingFleet::add(const RegisteredServer& server) { send(event::ServerRegistered { server }); }

void LeavingFleet::remove(const BackendId& id) { send(event::ServerUnregistered { id }); }

void LeavingFleet::leave(const RegisteredServer& server, Duration drain)
{
    RegisteredServer leaving = server;
    leaving.leaving = true;
    m_endAt[server.id] = m_harness.now() + drain;
    add(leaving);
}

void LeavingFleet::run(Duration span)
{
    const TimePoint end = m_harness.now() + span;
    while (m_harness.now() < end) {
        m_harness.tick(Step);
        follow();
        for (const AttemptId attempt : std::exchange(m_turnedAway, {}))
            send(event::AttemptEnded { attempt, AttemptResult::NotRun, 503, "" });
        endServers();
        deliverDue();
    }
}

std::size_t LeavingFleet::runningAt(const BackendId& server) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& each) { return each.second.server == server; }));
}

void LeavingFleet::send(RelayEventBody body)
{
    m_harness.send(std::move(body));
    follow();
}

void LeavingFleet::follow()
{
    const RelayEffects effects = m_harness.effects();
    for (const RelayEffect& effect : effects) {
        if (const auto* started = std::get_if<effect::StartAttempt>(&effect))
            start(*started);
        else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&effect))
            m_runs.erase(cancelled->attempt);
        else if (const auto* held = std::get_if<effect::HoldAnswer>(&effect))
            m_runs.at(held->attempt).isHeld = true;
        else if (const auto* released = std::get_if<effect::ContinueAnswer>(&effect))
            m_runs.at(released->attempt).isHeld = false;
        else if (std::holds_alternative<effect::BreakAnswer>(effect))
            ++m_brokenOff;
    }
}

void LeavingFleet::start(const effect::StartAttempt& started)
{
    if (started.resumeAfter) {
        ++m_furtherAttempts;
        if (m_rejectionsLeft) {
            --m_rejectionsLeft;
            m_turnedAway.push_back(started.attempt);
            return;
        }
    }
    m_runs[started.attempt] = { started.call, started.server, started.chain, m_harness.now() + m_options.reading,
        started.resumeAfter.value_or(0) + 1 };
}

void LeavingFleet::endServers()
{
    std::vector<BackendId> ended;
    for (const auto& [server, end] : m_endAt) {
        if (m_harness.now() >= end)
            ended.push_back(server);
    }
    for (const BackendId& server : ended) {
        m_endAt.erase(server);
        std::vector<AttemptId> cut;
        for (const auto& [attempt, run] : m_runs) {
            if (run.server == server || run.chain.contains(server))
                cut.push_back(attempt);
        }
        for (const AttemptId attempt : cut) {
            m_runs.erase(attempt);
            ++m_cutByEnd;
            send(event::AttemptEnded { attempt, AttemptResult::Broken, 200, "" });
        }
        remove(server);
    }
}

void LeavingFleet::deliverDue()
{
    std::vector<AttemptId> due;
    for (const auto& [attempt, run] : m_runs) {
        if (!run.isHeld && m_harness.now() >= run.nextEvent)
            due.push_back(attempt);
    }
    for (const AttemptId attempt : due) {
        if (m_runs.count(attempt))
            deliver(attempt);
    }
}

void LeavingFleet::deliver(AttemptId attempt)
{
    Run& run = m_runs.at(attempt);
    const std::uint64_t number = run.next++;
    run.nextEvent += EventGap;
    std::uint64_t& last = m_delivered[run.call];
    m_misplaced += number == last + 1 ? 0 : 1;
    last = number;
    send(event::EventDelivered { attempt, number });
    if (number < m_options.events || !m_runs.count(attempt))
        return;
    m_runs.erase(attempt);
    ++m_completed;
    send(event::AttemptEnded { attempt, AttemptResult::Completed, 200, "" });
}

} // namespace crocusmount::relay
