#pragma once

#include "relay/ServerNotice.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace crocusmount::relay {

struct HeaderNames;

/// Finds a header of an answer by its name, in any case of letters. Returns its value, which is empty if the header
/// occurs with different values.
using HeaderLookup = std::function<std::optional<std::string_view>(const std::string& name)>;

/// Reads what the head of an answer states about the server that sent it. The only place that does so, for answers to
/// calls, checks, probes and orders.
/// @param status  HTTP status of the answer
/// @param find    the answer's headers
/// @return the notice; values that cannot be read are left out and counted
ServerNotice readServerNotice(const HeaderNames&, unsigned status, const HeaderLookup& find);

} // namespace crocusmount::relay
