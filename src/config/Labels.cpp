#include "crocusmount/Labels.h"

#include <algorithm>

namespace crocusmount {

bool matches(const Labels& selector, const Labels& labels)
{
    return std::all_of(selector.begin(), selector.end(), [&](const auto& required) {
        const auto found = labels.find(required.first);
        return found != labels.end() && found->second == required.second;
    });
}

} // namespace crocusmount
