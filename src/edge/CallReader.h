#pragma once

#include "relay/CallSpec.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>

namespace crocusmount::relay {

/// Reads what the relay needs from a call's head. Implemented by the platform's adapter.
class CallReader {
public:
    virtual ~CallReader() = default;

    /// @return the call, or InvalidArgument that says what is malformed
    absl::StatusOr<CallSpec> read(const http::fields& fields, std::string_view target) const
    {
        return onRead(fields, target);
    }

private:
    virtual absl::StatusOr<CallSpec> onRead(const http::fields&, std::string_view target) const = 0;
};

} // namespace crocusmount::relay
