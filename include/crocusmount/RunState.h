#pragma once

namespace crocusmount {

/// Whether a backend server ran a request, as far as it is known.
enum class RunState {
    NotRun, ///< no byte of the request reached a backend server, or the server reported that it did not run it
    MayHaveRun, ///< neither of the other states is certain
    Completed, ///< the complete answer was delivered
};

/// @return "not_run", "may_have_run" or "completed", the names used in the callers' API
const char* toString(RunState);

} // namespace crocusmount
