#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Stage.h"

#include <absl/container/inlined_vector.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace crocusmount {

/// The input of a ChainPicker for one request.
struct RouteQuery {
    std::uint32_t layerCount = 0; ///< number of layers of the model
    const std::vector<Stage>& stages; ///< stages of the model that have free capacity
    std::uint64_t entropy = 0; ///< random bits, the only source of randomness of a pick
    double jitter = 0.02; ///< upper bound of the random amount that is added to a stage's fill (a fraction)
};

/// Chooses the stages for one attempt. Implementations differ only in which of the available stages they choose.
class ChainPicker {
public:
    virtual ~ChainPicker() = default;

    /// Picks a chain.
    /// @return the chain, or nullopt if no sequence of the stages covers the model
    std::optional<Chain> pick(const RouteQuery&);

    /// @return whether some sequence of the stages of a query covers the model
    static bool coversModel(const RouteQuery&);

    /// Creates a picker by name.
    /// @param name  "flow", "random", "round_robin", "least_reported" or "power_of_two"
    /// @return the picker, or null if the name is unknown
    static std::unique_ptr<ChainPicker> make(std::string_view name);

protected:
    /// Stages in the order of their layers.
    using Path = std::vector<const Stage*>;

private:
    /// @return stages that cover the model from its first to its last layer, or an empty path if there are none
    virtual Path onPick(const RouteQuery&) = 0;
};

} // namespace crocusmount
