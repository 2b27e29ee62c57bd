#pragma once

#include <cstddef>
#include <string>

namespace crocusmount {

namespace relay {
    struct EngineModel;
}

/// Kinds of card, and what a holder of one kind counts where an engine of another is placed.
///
/// A holder counts by its speed against the placed engine's or the fleet's mean, whichever is faster, and one at most:
/// streams at a layer that only slow cards hold still wait for a faster one, while a fleet of slow cards is served by
/// them. Mean worth of five days with trouble: where all holders counted one, 0.470 against 0.509 in a fleet of 38
/// engines whose 14 slow cards stand by; where slow ones always counted 0.4, 0.690 against 0.727 in one that lives by
/// its 33.
class HolderWeights {
public:
    /// @param model         must outlive this
    /// @param meanSlowness  of the fleet's cards, weighed by the layers that they hold
    HolderWeights(const relay::EngineModel& model, double meanSlowness);

    /// Has each holder count one.
    void countAllAlike() { m_alike = true; }

    /// @return how many indices there are
    std::size_t kinds() const;
    /// @return index of a kind of card; the last for those that the model does not name
    std::size_t indexOf(const std::string& accelerator) const;
    /// @return what a holder of one kind counts where an engine of another is placed, from 0 to 1
    double weight(std::size_t holder, std::size_t placed) const;

private:
    double slownessOf(std::size_t kind) const;

    const relay::EngineModel& m_model;
    double m_meanSlowness = 1;
    bool m_alike = false;
};

} // namespace crocusmount
