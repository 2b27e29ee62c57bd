#pragma once

#include <string>
#include <vector>

namespace crocusmount {

/// Figures of a benchmark, printed as a table or as JSON and compared with their bounds.
class Figures {
public:
    /// Adds a figure without a bound.
    /// @param value  printed with four decimals, so that the text is equal on every computer
    void add(const std::string& name, double value);
    /// Adds a figure that must not exceed the bound.
    void addAtMost(const std::string& name, double value, double bound);
    /// Adds a figure that must not be below the bound.
    void addAtLeast(const std::string& name, double value, double bound);

    /// @return the value of the first figure with this name, 0 if there is none
    double operator[](const std::string& name) const;
    /// @return one line per figure, with its bound and whether it is violated
    std::string table() const;
    /// @return one JSON object that maps each name to its value
    std::string json() const;
    /// @return one line per figure that violates its bound, empty if there is none
    std::string violatedBounds() const;

private:
    enum class Limit {
        None,
        AtMost,
        AtLeast,
    };
    struct Figure {
        std::string name;
        double value = 0;
        Limit limit = Limit::None;
        double bound = 0;
    };

    static bool isWithinBound(const Figure&);

    std::vector<Figure> m_figures;
};

} // namespace crocusmount
