#include "planning/LayerCompletion.h"

#include <algorithm>

namespace crocusmount {

namespace {

    bool contains(const LayerRange& range, std::uint32_t layer) { return range.begin <= layer && layer < range.end; }

} // namespace

LayerCompletion::LayerCompletion(std::uint32_t layers, std::vector<Engine> engines)
    : m_layerCount(layers)
    , m_engines(std::move(engines))
    , m_held(layers)
    , m_planned(layers)
{
    for (const Engine& engine : m_engines)
        count(engine, 1);
}

/// Adds what an engine holds and will hold to the counts, or takes it off.
void LayerCompletion::count(const Engine& engine, int change)
{
    for (std::uint32_t layer = engine.held.begin; layer < std::min(engine.held.end, m_layerCount); ++layer)
        m_held[layer] += change;
    for (std::uint32_t layer = engine.planned.begin; layer < std::min(engine.planned.end, m_layerCount); ++layer)
        m_planned[layer] += change;
}

bool LayerCompletion::isComplete() const
{
    return std::all_of(m_planned.begin(), m_planned.end(), [](int holders) { return holders > 0; });
}

bool LayerCompletion::hasRoomForAll() const
{
    std::uint64_t room = 0;
    for (const Engine& engine : m_engines)
        room += std::max(engine.capacity, engine.planned.size());
    return room >= m_layerCount;
}

std::optional<LayerCompletion::Move> LayerCompletion::nextMove()
{
    if (isComplete() || !hasRoomForAll())
        return std::nullopt;
    if (auto move = moveToGap())
        return move;
    for (const LayerRange& gap : gaps()) {
        for (const Direction direction : { Direction::Up, Direction::Down }) {
            if (auto move = shiftTowards(gap, direction))
                return move;
        }
    }
    return std::nullopt;
}

/// @return the runs of layers that will have no holder
std::vector<LayerRange> LayerCompletion::gaps() const
{
    std::vector<LayerRange> found;
    for (std::uint32_t layer = 0; layer < m_layerCount; ++layer) {
        if (m_planned[layer])
            continue;
        if (found.empty() || found.back().end != layer)
            found.push_back({ layer, layer });
        ++found.back().end;
    }
    return found;
}

std::uint32_t LayerCompletion::uncoveredIn(const LayerRange& range) const
{
    std::uint32_t uncovered = 0;
    for (std::uint32_t layer = range.begin; layer < range.end; ++layer)
        uncovered += m_planned[layer] ? 0 : 1;
    return uncovered;
}

/// @return whether others hold each layer that the engine would give up
bool LayerCompletion::isSafe(const Engine& engine, const LayerRange& next) const
{
    for (std::uint32_t layer = engine.held.begin; layer < std::min(engine.held.end, m_layerCount); ++layer) {
        if (!contains(next, layer) && m_held[layer] < 2)
            return false;
    }
    return true;
}

/// Moves the engine that closes most of the gaps, and of those the one that keeps most of its layers.
std::optional<LayerCompletion::Move> LayerCompletion::moveToGap()
{
    Engine* best = nullptr;
    LayerRange bestRange;
    std::uint32_t mostClosed = 0;
    std::uint32_t mostKept = 0;
    for (Engine& engine : m_engines) {
        if (!engine.isMovable)
            continue;
        const std::uint32_t length = std::min(engine.capacity, m_layerCount);
        for (std::uint32_t begin = 0; begin + length <= m_layerCount; ++begin) {
            const LayerRange range { begin, begin + length };
            const std::uint32_t closed = uncoveredIn(range);
            const std::uint32_t first = std::max(begin, engine.held.begin);
            const std::uint32_t last = std::min(range.end, engine.held.end);
            const std::uint32_t kept = last > first ? last - first : 0;
            const bool isBetter = closed > mostClosed || (closed && closed == mostClosed && kept > mostKept);
            if (!isBetter || !isSafe(engine, range))
                continue;
            best = &engine;
            bestRange = range;
            mostClosed = closed;
            mostKept = kept;
        }
    }
    return best ? std::optional(order(*best, bestRange)) : std::nullopt;
}

/// @return the movable engine that holds a layer and reaches least far away from the gap, or null
LayerCompletion::Engine* LayerCompletion::movableHolderOf(std::uint32_t layer, Direction direction)
{
    Engine* nearest = nullptr;
    for (Engine& engine : m_engines) {
        if (!engine.isMovable || !contains(engine.held, layer))
            continue;
        const bool isNearer = !nearest
            || (direction == Direction::Up ? engine.held.begin > nearest->held.begin
                                           : engine.held.end < nearest->held.end);
        if (isNearer)
            nearest = &engine;
    }
    return nearest;
}

/// Brings the overlap that is nearest to a gap, on one side of it, nearer by one engine.
/// @param direction  in which engines are shifted: up from below the gap, or down from above it
std::optional<LayerCompletion::Move> LayerCompletion::shiftTowards(const LayerRange& gap, Direction direction)
{
    const bool isUp = direction == Direction::Up;
    if (isUp ? gap.begin == 0 : gap.end == m_layerCount)
        return std::nullopt;
    std::uint32_t next = isUp ? gap.begin - 1 : gap.end;
    while (Engine* engine = movableHolderOf(next, direction)) {
        const LayerRange& held = engine->held;
        // The layers on the far side that others hold, too, and the room for more.
        std::uint32_t redundant = 0;
        while (redundant < held.size() && m_held[isUp ? held.begin + redundant : held.end - 1 - redundant] > 1)
            ++redundant;
        const std::uint32_t length = std::max(engine->capacity, held.size());
        const std::uint32_t reach = std::min(redundant, gap.size()) + length - held.size();
        LayerRange shifted;
        if (isUp) {
            shifted.end = std::min(held.end + reach, m_layerCount);
            shifted.begin = shifted.end - std::min(length, shifted.end);
        } else {
            shifted.begin = held.begin - std::min(reach, held.begin);
            shifted.end = std::min(shifted.begin + length, m_layerCount);
        }
        if (reach && shifted != held && isSafe(*engine, shifted))
            return order(*engine, shifted);
        if (isUp ? held.begin == 0 : held.end >= m_layerCount)
            break;
        next = isUp ? held.begin - 1 : held.end;
    }
    return std::nullopt;
}

LayerCompletion::Move LayerCompletion::order(Engine& engine, const LayerRange& layers)
{
    count(engine, -1);
    engine.held = {};
    engine.planned = layers;
    engine.isMovable = false;
    count(engine, 1);
    return { engine.id, layers };
}

} // namespace crocusmount
