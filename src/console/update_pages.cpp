#include "console/update_pages.hpp"

#include "console/html_text.hpp"
#include "console/page_layout.hpp"
#include "policy/policy_codec.hpp"
#include "policy/policy_difference.hpp"

#include <fmt/format.h>

#include <string>

namespace samphire
{

namespace
{

std::string document_form(
    std::string_view action,
    std::string_view button,
    policy_document const& document,
    object_version base_version,
    std::string_view token)
{
    return fmt::format(
        "<form method=\"post\" action=\"{}\">{}{}{}"
        "<button type=\"submit\">{}</button></form>\n",
        action,
        hidden_field("token", token),
        hidden_field("base_version", fmt::format("{}", base_version.value())),
        hidden_field("document", format_policy(document)),
        escape_html(button));
}

std::string notice_section(std::string_view notice)
{
    return notice.empty() ? std::string()
                          : fmt::format(
                                "<p class=\"notice\" role=\"alert\">{}</p>\n",
                                escape_html(notice));
}

std::string revision_text(revision number)
{
    return number.empty() ? "defaults" : fmt::format("{}", number.value());
}

std::string
rollout_progress(rollout const& observed_rollout, revision applied_revision)
{
    if (applied_revision.empty())
        return "";
    std::size_t updated_daemons = 0;
    std::size_t answered_daemons = 0;
    for (domain_rollout const& domain : observed_rollout.domains_)
    {
        for (auto const& [number, daemon_count] : domain.daemon_counts_)
        {
            answered_daemons += daemon_count;
            updated_daemons += number == applied_revision ? daemon_count : 0;
        }
    }
    return fmt::format(
        "<p role=\"status\">Revision {} is in force at {} of {} "
        "daemons that answered; {} could not be reached. "
        "<a href=\"/status?revision={}\">Ask again</a></p>\n",
        applied_revision.value(),
        updated_daemons,
        answered_daemons,
        observed_rollout.unreached_addresses_.size(),
        applied_revision.value());
}

} // namespace

http_response review_page(
    std::uint16_t status,
    policy_document const& document,
    stored_policy const& base,
    std::string_view token,
    std::string_view notice)
{
    std::string const number = fmt::format("{}", document.revision_.value());
    std::string content = notice_section(notice);
    content += changes_table(
        "Changes from the document in force",
        policy_difference(base.document_, document));
    content += document_form(
        "/apply", "Apply revision " + number, document, base.version_, token);
    content += document_form(
        "/edit", "Back to the form", document, base.version_, token);
    content += document_section("New document", format_policy(document));
    return html_page(status, "Review revision " + number, content);
}

http_response conflict_page(
    policy_document const& document,
    stored_policy const& current,
    std::string_view token)
{
    std::string content = notice_section(
        "Another operator changed the document meanwhile. Yours is not in "
        "force, and nothing of theirs was replaced.");
    content += changes_table(
        "Changes from the document in force to yours",
        policy_difference(current.document_, document));
    content += document_form(
        "/edit",
        "Edit yours on top of the document in force",
        document,
        current.version_,
        token);
    content += "<p><a href=\"/\">Start from the document in force</a></p>\n";
    content += document_section("Document in force", current.text_);
    content += document_section("Your document", format_policy(document));
    return html_page(409, "Conflict with another operator", content);
}

http_response
rollout_page(rollout const& observed_rollout, revision applied_revision)
{
    std::string content = rollout_progress(observed_rollout, applied_revision);
    content += "<table><caption>Revisions in force</caption><thead><tr>"
               "<th scope=\"col\">Failure domain</th><th scope=\"col\">"
               "Revision</th><th scope=\"col\">Daemons</th></tr></thead>"
               "<tbody>\n";
    for (domain_rollout const& domain : observed_rollout.domains_)
    {
        for (auto const& [number, daemon_count] : domain.daemon_counts_)
            content += fmt::format(
                "<tr><th scope=\"row\">{}</th><td>{}</td><td>{}</td></tr>\n",
                escape_html(domain.domain_.value()),
                revision_text(number),
                daemon_count);
    }
    content += "</tbody></table>\n<h2>Daemons that could not be reached</h2>\n";
    if (observed_rollout.unreached_addresses_.empty())
        content += "<p>None.</p>\n";
    else
        content += "<ul>\n";
    for (endpoint const address : observed_rollout.unreached_addresses_)
        content += fmt::format("<li>{}</li>\n", address.text());
    content += observed_rollout.unreached_addresses_.empty() ? "" : "</ul>\n";
    return html_page(200, "Where the policy is in force", content);
}

http_response refused_page(
    std::uint16_t status,
    std::string_view title,
    std::string_view reason,
    std::string_view submitted)
{
    std::string content = notice_section(reason);
    if (!submitted.empty())
        content += document_section("What was sent", submitted);
    return html_page(status, title, content);
}

} // namespace samphire
