#pragma once

#include <compare>
#include <cstdint>

namespace crocusmount {

/// A range of model layers: begin is the first layer of the range, end is the first layer after it.
struct LayerRange {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;

    /// @return number of layers; 0 if end is not greater than begin
    std::uint32_t size() const { return end > begin ? end - begin : 0; }
    auto operator<=>(const LayerRange&) const = default;
};

} // namespace crocusmount
