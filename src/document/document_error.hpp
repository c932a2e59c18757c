#pragma once

#include <stdexcept>

namespace samphire
{

/// A document of another party breaks a rule; the text names the field and the
/// rule.
class document_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace samphire
