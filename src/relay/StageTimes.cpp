#include "relay/StageTimes.h"

#include <algorithm>
#include <cmath>

namespace crocusmount::relay {

namespace {

    /// Passes that an event takes at a stage: it waits for the one under way, and runs in the next one.
    constexpr double PassesPerEvent = 2;
    /// Rounds in which the time of an event is adapted to the passes. The passes change by less than 1% in the last one
    /// while no engine falls behind.
    constexpr int SettlingRounds = 8;
    /// Greatest utilisation for which the time to read a prompt is predicted; beyond, a backlog grows without limit.
    constexpr double MaxUtilisation = 0.95;

} // namespace

double excessProbability(double distance) { return 0.5 * std::erfc(distance / std::sqrt(2.0)); }

StageTimes::StageTimes(const EngineModel& model, const EngineTimes& times, const AcceleratorKind& accelerator,
    std::uint32_t heldLayers, const StageLoad& load)
    : m_times(times)
    , m_load(load)
    , m_heldLayers(heldLayers)
    , m_layerShare(static_cast<double>(heldLayers) / model.layers)
    , m_readFactor(accelerator.readFactor)
    , m_memoryTokens(model.kvTokenLayers(accelerator, heldLayers) / heldLayers)
{
    const double stepsFactor = model.stride * accelerator.stepFactor * load.slowness * m_layerShare;
    // On average, half of an answer has been made.
    const double contextTokens = times.usualPromptTokens + times.usualAnswerTokens / 2;
    m_idlePassMs = stepsFactor * model.stepMs;
    m_batchMs = stepsFactor * (times.streamMs + times.contextMsPerToken * contextTokens);
    m_eventsPerStream = std::max(1.0, times.usualAnswerTokens / model.stride);
    m_fullReadMs = model.stride * times.tokensReadPerStep * times.readMsPerToken * m_readFactor * m_layerShare;
    const double pairs = times.usualPromptTokens * times.usualPromptTokens / 2;
    m_readShareMs = (times.usualPromptTokens * times.readMsPerToken + pairs * times.readMsPerPair) * m_readFactor
        * m_layerShare / m_eventsPerStream;
    m_backlogMs = load.unreadTokens * times.readMsPerToken * m_readFactor * m_layerShare;
    m_passMs = m_idlePassMs;
}

void StageTimes::setEventMs(double eventMs)
{
    m_eventMs = eventMs;
    m_utilisation = eventMs > 0 ? m_load.streams * (m_batchMs + m_readShareMs) / eventMs : 0;
    m_passMs = passMsAt(m_load.streams);
    const double addedMs = passMsAt(m_load.streams + 1) - m_passMs;
    m_othersLayerMs = m_load.streams * PassesPerEvent * addedMs / m_heldLayers;
}

/// @return mean length of a pass with a number of streams, in ms. While an engine falls behind, all of its streams wait
///         for each pass, and each pass reads as much as it may.
double StageTimes::passMsAt(double streams) const
{
    const double longestMs = m_idlePassMs + streams * m_batchMs + m_fullReadMs;
    const double utilisation = m_eventMs > 0 ? streams * (m_batchMs + m_readShareMs) / m_eventMs : 0;
    return utilisation < 1 ? std::min(longestMs, m_idlePassMs / (1 - utilisation)) : longestMs;
}

double StageTimes::readLayerMs(double promptTokens) const
{
    const double pairs = promptTokens * promptTokens / 2;
    const double readMs = promptTokens * m_times.readMsPerToken + pairs * m_times.readMsPerPair;
    return readMs * m_readFactor * m_layerShare / m_heldLayers / (1 - std::min(MaxUtilisation, m_utilisation));
}

double StageTimes::memoryLeftTokens(double tokens) const
{
    // Booked tokens include answers that are not made yet.
    const double usualTokens = m_times.usualPromptTokens + m_times.usualAnswerTokens;
    const double madeShare = (m_times.usualPromptTokens + m_times.usualAnswerTokens / 2) / usualTokens;
    return m_memoryTokens - m_load.bookedTokens * madeShare - tokens;
}

double StageTimes::memoryShortage(double tokens) const
{
    const double usualTokens = m_times.usualPromptTokens + m_times.usualAnswerTokens;
    return excessProbability(memoryLeftTokens(tokens) / (usualTokens * streamsDeviation(m_load.streams)));
}

double StageTimes::streamsDeviation(double streams) const
{
    // Independent arrivals and ends vary by the root of their number. All instances see the same reports, so that until
    // the next ones, they may send a cheap engine twice as many streams as usual, or none.
    const double streamMs = m_eventMs * m_eventsPerStream;
    const double changed = streamMs > 0 ? streams * std::min(1.0, m_load.ageMs / streamMs) : 0;
    return std::sqrt(std::max(1.0, streams) + changed * changed);
}

double settleEventMs(std::vector<StageTimes>& stages, std::uint32_t layers)
{
    double eventMs = 0;
    for (int round = 0; round < SettlingRounds; ++round) {
        double passMs = 0;
        double heldLayers = 0;
        for (const StageTimes& each : stages) {
            // An idle engine counts as one with a single stream.
            const double weight = std::max(1.0, each.streams());
            passMs += weight * each.passMs();
            heldLayers += weight * each.heldLayers();
        }
        if (heldLayers <= 0)
            return 0;
        eventMs = PassesPerEvent * passMs / heldLayers * layers;
        for (StageTimes& each : stages)
            each.setEventMs(eventMs);
    }
    return eventMs;
}

} // namespace crocusmount::relay
