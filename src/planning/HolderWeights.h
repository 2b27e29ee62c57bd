#pragma once

#include <cstddef>
#include <string>

namespace crocusmount {

namespace relay {
    struct EngineModel;
}

/// Weighs existing holders of a layer by accelerator kind, to decide where one more engine is placed.
///
/// A holder counts by its speed relative to the faster of the placed engine and the fleet's mean, and at most as 1.
/// Streams at a layer that only slow accelerators hold still wait for a faster one, while a fleet of mostly slow
/// accelerators depends on them. Mean score of five benchmark days with failures, compared with these weights:
/// - All holders counted as 1: 0.470 instead of 0.509 in a fleet of 38 engines with 14 slow accelerators in reserve.
/// - Slow holders always counted as 0.4: 0.690 instead of 0.727 in a fleet that depends on its 33 slow accelerators.
class HolderWeights {
public:
    /// @param model         must outlive this object
    /// @param meanSlowness  mean AcceleratorKind::stepFactor of the fleet, weighted by the layers that each accelerator
    /// holds
    HolderWeights(const relay::EngineModel& model, double meanSlowness);

    /// Makes each holder count as 1.
    void weighAllEqually() { m_countsAllAlike = true; }

    /// @return the number of valid kind indices
    std::size_t kindCount() const;
    /// @return the index of an accelerator kind; all kinds that the model does not name share the last index
    std::size_t indexOf(const std::string& accelerator) const;
    /// @param holder  kind index of the existing holder
    /// @param placed  kind index of the engine to be placed
    /// @return the weight of the holder, from 0 to 1
    double weight(std::size_t holder, std::size_t placed) const;

private:
    /// @return the AcceleratorKind::stepFactor of a kind, or the fleet's mean for kinds that the model does not name
    double slownessOf(std::size_t kind) const;

    const relay::EngineModel& m_model;
    double m_meanSlowness = 1;
    bool m_countsAllAlike = false;
};

} // namespace crocusmount
