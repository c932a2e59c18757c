#pragma once

#include <functional>
#include <string>
#include <vector>

namespace samphire::bench
{

/// One decoder of bytes that another party has written.
struct decoder_case
{
    std::string name_{};
    /// Inputs that the decoder accepts, in addition to those in the corpus.
    std::vector<std::string> seeds_{};
    /// Returns whether the input was accepted. Throws std::logic_error when an
    /// accepted value breaks a rule that the code behind the decoder relies on.
    std::function<bool(std::string const& input)> accepts_{};
};

} // namespace samphire::bench
