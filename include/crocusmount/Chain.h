#pragma once

#include "crocusmount/Hop.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusmount {

/// The ordered stages that compute one token. Except for a default-constructed chain, the layer ranges of the stages
/// cover the model from its first to its last layer without gap or overlap.
class Chain {
public:
    /// Creates an empty chain, for use in containers. An empty chain is never dispatched.
    Chain() = default;

    /// Creates a chain from its stages.
    /// @param layerCount  number of layers of the model
    /// @param hops        stages in the order in which they run
    /// @return the chain; InvalidArgument if a range is empty, a layer is missing or covered twice, a range goes beyond
    ///         the last layer, or the stages are out of order
    static absl::StatusOr<Chain> make(std::uint32_t layerCount, std::vector<Hop> hops);

    /// @return the stages in the order in which they run
    const std::vector<Hop>& hops() const { return m_hops; }

    /// @return the stages as engines report them with each token: "backend:begin-end@generation,..."; a token whose
    ///         trace equals this text passed through every layer exactly once and in order
    const std::string& trace() const { return m_trace; }

    /// @return whether a backend server is a stage of this chain
    bool contains(const BackendId&) const;

    bool operator==(const Chain&) const = default;

private:
    Chain(std::vector<Hop> hops, std::string trace);

    std::vector<Hop> m_hops;
    std::string m_trace;
};

/// @return the part of a trace that describes one stage: "backend:begin-end@generation"
std::string formatTraceEntry(const BackendId&, const LayerRange&, Generation);

} // namespace crocusmount
