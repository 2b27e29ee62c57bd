#include "crocusmount/Chain.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace crocusmount {

namespace {

    std::string formatTrace(const std::vector<Hop>& hops)
    {
        std::string trace;
        for (const Hop& hop : hops)
            absl::StrAppend(
                &trace, trace.empty() ? "" : ",", formatTraceEntry(hop.backend, hop.layers, hop.generation));
        return trace;
    }

    /// @return OK if the layer ranges cover [0, layerCount) in order without gap or overlap, else InvalidArgument that
    ///         describes the first fault
    absl::Status checkTiling(std::uint32_t layerCount, const std::vector<Hop>& hops)
    {
        std::uint32_t nextLayer = 0;
        for (const Hop& hop : hops) {
            const auto& layers = hop.layers;
            if (!layers.size())
                return absl::InvalidArgumentError(absl::StrCat("empty range at ", hop.backend.value()));
            if (layers.begin > nextLayer)
                return absl::InvalidArgumentError(
                    absl::StrCat("gap: layers ", nextLayer, "-", layers.begin, " have no stage"));
            if (layers.begin < nextLayer)
                return absl::InvalidArgumentError(
                    absl::StrCat("overlap or wrong order at ", hop.backend.value(), ": begins at ", layers.begin));
            nextLayer = layers.end;
        }
        if (nextLayer != layerCount)
            return absl::InvalidArgumentError(absl::StrCat("chain ends at layer ", nextLayer, " of ", layerCount));
        return absl::OkStatus();
    }

} // namespace

std::string formatTraceEntry(const BackendId& backend, const LayerRange& layers, Generation generation)
{
    return absl::StrCat(backend.value(), ":", layers.begin, "-", layers.end, "@", generation.value());
}

Chain::Chain(std::vector<Hop> hops, std::string trace)
    : m_hops(std::move(hops))
    , m_trace(std::move(trace))
{
}

absl::StatusOr<Chain> Chain::make(std::uint32_t layerCount, std::vector<Hop> hops)
{
    if (auto status = checkTiling(layerCount, hops); !status.ok())
        return status;
    auto trace = formatTrace(hops);
    return Chain(std::move(hops), std::move(trace));
}

bool Chain::contains(const BackendId& backend) const
{
    return std::any_of(m_hops.begin(), m_hops.end(), [&](const Hop& hop) { return hop.backend == backend; });
}

} // namespace crocusmount
