#pragma once

#include <map>
#include <string>

namespace crocusmount {

/// Labels of an object by name, or the labels that a selector requires.
using Labels = std::map<std::string, std::string>;

/// @return whether the labels contain every label of the selector with an equal value; an empty selector matches all
bool matches(const Labels& selector, const Labels& labels);

} // namespace crocusmount
