#include "shell/AnswerHead.h"

#include <algorithm>

namespace crocusmount {

namespace {

    constexpr unsigned FirstInterimStatus = 100;
    constexpr unsigned SwitchingProtocols = 101;
    constexpr unsigned FirstFinalStatus = 200;
    constexpr unsigned LastFinalStatus = 599;

} // namespace

StatusKind kindOfStatus(unsigned status)
{
    if (status < FirstInterimStatus || status == SwitchingProtocols || status > LastFinalStatus)
        return StatusKind::Invalid;
    return status < FirstFinalStatus ? StatusKind::Interim : StatusKind::Final;
}

bool hasConflictingValues(const http::fields& head, std::string_view name)
{
    const auto fields = head.equal_range(name);
    return std::any_of(
        fields.first, fields.second, [&](const auto& field) { return field.value() != fields.first->value(); });
}

std::string_view singleValue(const http::fields& head, std::string_view name)
{
    return hasConflictingValues(head, name) ? std::string_view() : std::string_view(head[name]);
}

} // namespace crocusmount
