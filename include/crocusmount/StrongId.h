#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace crocusmount {

/// An identifier with its own type, so that it cannot be passed where an identifier of another kind is expected.
/// @tparam Tag  incomplete type that distinguishes the kinds of identifiers
/// @tparam Rep  type of the value: an integer or std::string
template <typename Tag, typename Rep>
class StrongId {
public:
    using Representation = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    /// @return the underlying value, for printing and serialization
    const Rep& value() const { return m_value; }

    auto operator<=>(
        const StrongId&) const = default; // NOLINT(modernize-use-nullptr): clang 14 reports the generated 0
    bool operator==(const StrongId&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const StrongId& id) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), id.m_value);
    }

private:
    Rep m_value {};
};

} // namespace crocusmount
