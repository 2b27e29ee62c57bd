#pragma once

#include "relay/ServiceConfiguration.h"

namespace crocusmount::relay {

/// The time that an engine needs for an event of a stream, from the model's figures and its load. Load patterns that it
/// answers: many streams on few fast cards, where each further one slows all others; and memory about to run out, where
/// the newest stream is thrown back and read again.
class EngineCost {
public:
    /// @param heldLayers     layers that the engine holds
    /// @param contextTokens  of all streams through it, of all instances together, as far as one of them can tell
    /// @param slowness       its work takes this many times as long as its card's figures say
    EngineCost(const EngineModel&, const AcceleratorKind&, std::uint32_t heldLayers, double contextTokens,
        double slowness = 1);

    /// @return how long one pass over all held layers takes, in ms
    double passMs() const { return m_passMs; }
    /// @return part of the memory for requests that is taken
    double fill() const { return m_fill; }
    /// @return cost of one layer for a further stream, with what it costs the others, in ms an event
    double marginalMsPerLayer() const { return m_marginalMsPerLayer; }

private:
    double m_passMs = 0;
    double m_fill = 0;
    double m_marginalMsPerLayer = 0;
};

} // namespace crocusmount::relay
