#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace crocusmount {

/// Finds the next move of an engine towards a fleet that holds each layer of a model. Without a holder of each layer
/// the model can't be run at all, so this goes before the value of any placement.
///
/// No move gives up the only copy of a layer. An engine is moved to a gap if others hold what it gives up; if there is
/// none, engines that overlap are shifted one after the other, so that the overlap reaches a gap. If the engines have
/// room for all layers, repeated moves close all gaps, whatever the engines hold.
class LayerCompletion {
public:
    /// One engine that stays.
    struct Engine {
        BackendId id;
        LayerRange held; ///< empty if none, or if it has been ordered to give them up
        LayerRange planned; ///< what it holds once its orders are carried out
        std::uint32_t capacity = 0; ///< most layers that it may hold
        bool isMovable = false; ///< holds layers, carries out no order and runs few streams
    };
    /// An engine that is to hold a range in place of its present one.
    struct Move {
        BackendId engine;
        LayerRange layers;
    };

    /// @param layers  number of layers of the model
    LayerCompletion(std::uint32_t layers, std::vector<Engine> engines);

    /// @return whether each layer has a holder, once all orders are carried out
    bool isComplete() const;
    /// Plans one more move.
    /// @return nothing if the model is complete, if the engines lack room, or until other moves are carried out
    std::optional<Move> nextMove();

private:
    enum class Direction { Up, Down };

    bool hasRoomForAll() const;
    std::vector<LayerRange> gaps() const;
    std::uint32_t uncoveredIn(const LayerRange&) const;
    bool isSafe(const Engine&, const LayerRange& next) const;
    std::optional<Move> moveToGap();
    std::optional<Move> shiftTowards(const LayerRange& gap, Direction);
    Engine* movableHolderOf(std::uint32_t layer, Direction);
    Move order(Engine&, const LayerRange&);
    void count(const Engine&, int change);

    std::uint32_t m_layerCount;
    std::vector<Engine> m_engines;
    std::vector<int> m_held; ///< by layer: engines that hold it and are to keep it
    std::vector<int> m_planned; ///< by layer: engines that hold it once their orders are carried out
};

} // namespace crocusmount
