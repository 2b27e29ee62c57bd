#include "tests/LeavingFleet.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    constexpr Duration EventInterval = std::chrono::milliseconds(40);
    constexpr Duration ClockStep = std::chrono::milliseconds(10);

} // namespace

LeavingFleet::LeavingFleet(Options options)
    : m_options(std::move(options))
    , m_harness(m_options.relay)
    , m_rejectionsLeft(m_options.rejections)
{
}

void LeavingFleet::startStreams(std::uint32_t streams)
{
    for (std::uint32_t i = 0; i < streams; ++i) {
        m_harness.call("/draft/1");
        carryOutEffects();
        advance(ClockStep);
    }
    advance(m_options.promptTime + EventInterval);
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

void LeavingFleet::advance(Duration span)
{
    const TimePoint end = m_harness.now() + span;
    while (m_harness.now() < end) {
        m_harness.tick(ClockStep);
        carryOutEffects();
        for (const AttemptId attempt : std::exchange(m_rejected, {}))
            send(event::AttemptEnded { attempt, AttemptResult::NotRun, 503, "" });
        endServers();
        deliverDue();
    }
}

std::size_t LeavingFleet::runningAt(const BackendId& server) const
{
    return static_cast<std::size_t>(std::count_if(m_runningAttempts.begin(), m_runningAttempts.end(),
        [&](const auto& each) { return each.second.server == server; }));
}

void LeavingFleet::send(RelayEventBody body)
{
    m_harness.send(std::move(body));
    carryOutEffects();
}

void LeavingFleet::carryOutEffects()
{
    const RelayEffects effects = m_harness.effects();
    for (const RelayEffect& effect : effects) {
        if (const auto* started = std::get_if<effect::StartAttempt>(&effect))
            start(*started);
        else if (const auto* cancelled = std::get_if<effect::CancelAttempt>(&effect))
            m_runningAttempts.erase(cancelled->attempt);
        else if (const auto* held = std::get_if<effect::HoldAnswer>(&effect))
            m_runningAttempts.at(held->attempt).isHeld = true;
        else if (const auto* released = std::get_if<effect::ContinueAnswer>(&effect))
            m_runningAttempts.at(released->attempt).isHeld = false;
        else if (std::holds_alternative<effect::BreakAnswer>(effect))
            ++m_brokenOff;
    }
}

void LeavingFleet::start(const effect::StartAttempt& started)
{
    if (started.resumeAfter) {
        ++m_resumeAttempts;
        if (m_rejectionsLeft) {
            --m_rejectionsLeft;
            m_rejected.push_back(started.attempt);
            return;
        }
    }
    m_runningAttempts[started.attempt] = { started.call, started.server, started.chain,
        m_harness.now() + m_options.promptTime, started.resumeAfter.value_or(0) + 1 };
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
        std::vector<AttemptId> broken;
        for (const auto& [attempt, running] : m_runningAttempts) {
            if (running.server == server || running.chain.contains(server))
                broken.push_back(attempt);
        }
        for (const AttemptId attempt : broken) {
            m_runningAttempts.erase(attempt);
            ++m_brokenByServerEnd;
            send(event::AttemptEnded { attempt, AttemptResult::Broken, 200, "" });
        }
        remove(server);
    }
}

void LeavingFleet::deliverDue()
{
    std::vector<AttemptId> due;
    for (const auto& [attempt, running] : m_runningAttempts) {
        if (!running.isHeld && m_harness.now() >= running.nextEventAt)
            due.push_back(attempt);
    }
    for (const AttemptId attempt : due) {
        if (m_runningAttempts.count(attempt))
            deliver(attempt);
    }
}

void LeavingFleet::deliver(AttemptId attempt)
{
    RunningAttempt& running = m_runningAttempts.at(attempt);
    const std::uint64_t eventId = running.nextEventId++;
    running.nextEventAt += EventInterval;
    std::uint64_t& last = m_lastDelivered[running.call];
    m_misplaced += eventId == last + 1 ? 0 : 1;
    last = eventId;
    send(event::EventDelivered { attempt, eventId });
    if (eventId < m_options.events || !m_runningAttempts.count(attempt))
        return;
    m_runningAttempts.erase(attempt);
    ++m_completed;
    send(event::AttemptEnded { attempt, AttemptResult::Completed, 200, "" });
}

} // namespace crocusmount::relay
