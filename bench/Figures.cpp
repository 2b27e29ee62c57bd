#include "bench/Figures.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace crocusmount {

void Figures::add(const std::string& name, double value) { m_figures.push_back({ name, value, Limit::None, 0 }); }

void Figures::addAtMost(const std::string& name, double value, double bound)
{
    m_figures.push_back({ name, value, Limit::AtMost, bound });
}

void Figures::addAtLeast(const std::string& name, double value, double bound)
{
    m_figures.push_back({ name, value, Limit::AtLeast, bound });
}

double Figures::operator[](const std::string& name) const
{
    for (const Figure& figure : m_figures) {
        if (figure.name == name)
            return figure.value;
    }
    return 0;
}

bool Figures::isWithinBound(const Figure& figure)
{
    switch (figure.limit) {
    case Limit::AtMost:
        return figure.value <= figure.bound;
    case Limit::AtLeast:
        return figure.value >= figure.bound;
    case Limit::None:
        break;
    }
    return true;
}

std::string Figures::table() const
{
    std::string text;
    for (const Figure& figure : m_figures) {
        absl::StrAppendFormat(&text, "%-58s %14.4f", figure.name, figure.value);
        if (figure.limit != Limit::None)
            absl::StrAppendFormat(&text, "  %s %.4f%s", figure.limit == Limit::AtMost ? "<=" : ">=", figure.bound,
                isWithinBound(figure) ? "" : "  BROKEN");
        text += "\n";
    }
    return text;
}

std::string Figures::json() const
{
    std::string text = "{";
    for (const Figure& figure : m_figures)
        absl::StrAppend(
            &text, text.size() > 1 ? ",\n " : "\n ", "\"", figure.name, "\": ", absl::StrFormat("%.4f", figure.value));
    return text + "\n}\n";
}

std::string Figures::violatedBounds() const
{
    std::string text;
    for (const Figure& figure : m_figures) {
        if (!isWithinBound(figure))
            absl::StrAppendFormat(&text, "%s is %.4f, bound %.4f\n", figure.name, figure.value, figure.bound);
    }
    return text;
}

} // namespace crocusmount
