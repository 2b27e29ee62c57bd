#pragma once

#include "relay/ServiceConfiguration.h"

namespace crocusmount::relay {

/// What runs on an engine, by all instances.
struct StageLoad {
    /// Streams that run there. One that runs only a part of the held layers there counts as that fraction of a stream.
    double streams = 0;
    double bookedTokens = 0; ///< prompts and whole expected answers of these streams
    double unreadTokens = 0; ///< tokens of prompts that the engine has yet to read
    double slowness = 1; ///< reported step time as a multiple of the usual one of the accelerator
    double ageMs = 0; ///< age of the reports that these values are from
};

/// Predicts the times of one engine from its accelerator, its layers and its load. All choices of chains by predicted
/// times use this model.
///
/// An engine works in passes. A pass makes the next event of each stream that has reached the engine, and reads parts
/// of prompts. A stream that arrives waits for the pass under way and then runs in the next one. Between two events of
/// a stream, its token is at each stage of its chain in turn, so that only a fraction of the streams takes part in one
/// pass: the shorter the pass, the smaller this fraction. The model solves this for the length of a pass:
///
///     pass = idle pass / (1 - utilisation), utilisation = streams * work of a stream per event / time of an event
///
/// Load pattern: few fast engines run a part of most streams, beside many slow ones that could run more.
class StageTimes {
public:
    /// @param heldLayers  number of layers that the engine holds, at least 1
    StageTimes(
        const EngineModel&, const EngineTimes&, const AcceleratorKind&, std::uint32_t heldLayers, const StageLoad&);

    /// Sets the mean time of an event over all streams of the model, in ms. Without it, the engine counts as idle.
    void setEventMs(double eventMs);

    /// @return mean length of a pass with its present streams, in ms
    double passMs() const { return m_passMs; }
    /// @return time of an event in one layer, in ms
    double layerMs() const { return m_passMs / m_heldLayers; }
    /// @return time for which an event waits before its pass begins, in ms
    double waitMs() const { return m_passMs; }
    /// @return length of a pass that reads as much as a pass may, in ms
    double longestPassMs() const { return m_passMs + m_fullReadMs; }
    /// @return time to read a prompt in one layer while the engine also serves its streams, in ms
    double readLayerMs(double promptTokens) const;
    /// @return time until the engine has read the prompts that wait there, in ms
    double backlogMs() const { return m_backlogMs; }
    /// @return how much later the events of all other streams become with one more stream, per layer that this stream
    ///         runs here and per event of it, in ms
    double othersLayerMs() const { return m_othersLayerMs; }
    /// @return fraction of the time for which the engine works for its streams; 1 and more if it falls behind
    double utilisation() const { return m_utilisation; }
    /// @param tokens  prompt and expected answer of one more stream
    /// @return mean free memory while that stream runs, in tokens; negative if the engine has to evict streams
    double memoryLeftTokens(double tokens) const;
    /// @return probability that the memory does not suffice while one more stream runs
    double memoryShortage(double tokens) const;
    /// @param streams  that were running as of the last reports
    /// @return standard deviation of the number that is running now
    double streamsDeviation(double streams) const;
    double streams() const { return m_load.streams; }
    std::uint32_t heldLayers() const { return m_heldLayers; }

private:
    double passMsAt(double streams) const;

    const EngineTimes& m_times;
    StageLoad m_load;
    std::uint32_t m_heldLayers;
    double m_layerShare; ///< held layers as a fraction of all
    double m_readFactor; ///< of the accelerator
    double m_memoryTokens; ///< capacity of the KV cache
    double m_idlePassMs; ///< length of a pass with one stream
    double m_batchMs; ///< work of a stream in a pass that it takes part in
    double m_eventsPerStream; ///< usual events of an answer
    double m_readShareMs; ///< time to read a stream's prompt, per event of the stream
    double m_fullReadMs; ///< longest time that a pass reads
    double m_backlogMs;
    double m_eventMs = 0; ///< mean time of an event over all streams; 0: not set
    double m_utilisation = 0;
    double m_passMs;
    double m_othersLayerMs = 0;
};

/// @param distance  of a bound above the mean, in standard deviations
/// @return probability that a normally distributed value exceeds the bound
double excessProbability(double distance);

/// Sets the mean time of an event of all streams on engines of one model, such that it fits the predicted passes.
/// @param stages  all engines of the model that hold layers
/// @param layers  number of layers of the model
/// @return that time, in ms; 0 if there are no engines
double settleEventMs(std::vector<StageTimes>& stages, std::uint32_t layers);

} // namespace crocusmount::relay
