#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

namespace catkintally::core
{

using wire::decision_code;

/// The owner's answer to an admission request.
struct admission_decision
{
    request_id id = 0;
    /// Instance that requested admission.
    std::string instance;
    decision_code code = decision_code::refused_no_target;
    /// Granted target; empty for a refusal.
    std::string target;
    /// Time after which a new attempt may succeed; zero if waiting does not help.
    duration retry_after{};
};

} // namespace catkintally::core
