#pragma once

#include "base/text.hpp"
#include "console/edit_page.hpp"
#include "console/form_fields.hpp"
#include "console/policy_form_codec.hpp"
#include "console/request_checks.hpp"
#include "console/session_table.hpp"
#include "console/status_survey.hpp"
#include "console/update_pages.hpp"
#include "http/http_request.hpp"
#include "operations/policy_store.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace samphire
{

/// Answers the requests of operators' browsers, one after another.
template <platform_caller Platform, status_survey Survey>
class console_pages
{
public:
    console_pages(policy_store<Platform>& store, Survey& survey)
        : store_(store), survey_(survey)
    {
    }

    http_response handle(http_request const& request)
    {
        if (!has_local_host(request))
            return refused_page(
                403,
                "Refused",
                "Host: must be a numeric address or localhost",
                "");
        if (request.method_ == "GET" && request.path_ == "/")
            return start_page(request);
        if (request.method_ == "GET" && request.path_ == "/status")
            return status_page(request);
        if (request.method_ == "POST")
            return handle_form(request);
        return refused_page(404, "No such page", "There is no such page.", "");
    }

private:
    using session = session_table::session;

    http_response start_page(http_request const& request)
    {
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(base.error(), "");
        auto const known = sessions_.find(session_cookie(request));
        session const current = known ? *known : sessions_.start();
        http_response const page =
            form_page(base.value().document_, base.value(), current);
        header_list headers = page.headers_;
        headers.push_back(
            {"Set-Cookie",
             "samphire-session=" + current.id_ +
                 "; HttpOnly; SameSite=Strict; Path=/"});
        return {page.status_, std::move(headers), page.body_};
    }

    http_response status_page(http_request const& request)
    {
        std::string const number =
            find_header(request.arguments_, "revision").value_or("");
        return rollout_page(
            summarize_reports(survey_.ask()),
            revision(parse_number<std::uint64_t>(number).value_or(0)));
    }

    http_response handle_form(http_request const& request)
    {
        form_fields const fields(request.body_.bytes());
        auto const known = sessions_.find(session_cookie(request));
        if (!known || !is_same_secret(known->token_, fields.value("token")))
            return refused_page(
                403,
                "Refused",
                "The session is not known, so nothing was changed. Open the "
                "policy page again.",
                sent_text(fields));
        if (request.path_ == "/review")
            return review(fields, *known);
        if (request.path_ == "/edit")
            return edit(fields, *known);
        if (request.path_ == "/apply")
            return apply(fields, *known);
        return refused_page(404, "No such page", "There is no such page.", "");
    }

    http_response review(form_fields const& fields, session const& current)
    {
        policy_form const form = read_policy_form(fields);
        if (!fields.contains("complete"))
            return refused_page(
                400,
                "Refused",
                "The form arrived incomplete, so nothing was changed.",
                sent_text(fields));
        policy_parse_result const parsed = parse_policy_form(form);
        if (!parsed)
            return edit_page(form, current.token_, parsed.error());
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(base.error(), sent_text(fields));
        if (base.value().version_ != form.base_version_)
            return conflict_page(parsed.value(), base.value(), current.token_);
        return review_page(
            200, parsed.value(), base.value(), current.token_, "");
    }

    http_response edit(form_fields const& fields, session const& current)
    {
        policy_parse_result const parsed =
            parse_policy(fields.value("document"));
        if (!parsed)
            return invalid_page(fields);
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(base.error(), sent_text(fields));
        if (!has_base(fields, base.value()))
            return conflict_page(parsed.value(), base.value(), current.token_);
        return form_page(parsed.value(), base.value(), current);
    }

    http_response apply(form_fields const& fields, session const& current)
    {
        policy_parse_result const parsed =
            parse_policy(fields.value("document"));
        if (!parsed)
            return invalid_page(fields);
        policy_document const& document = parsed.value();
        policy_read_result const base = store_.read();
        if (!base)
            return unavailable_page(base.error(), sent_text(fields));
        // The button was pressed again after a response was lost.
        if (base.value().text_ == format_policy(document))
            return applied(document);
        if (!has_base(fields, base.value()))
            return conflict_page(document, base.value(), current.token_);
        policy_update const update = store_.apply(document, base.value());
        switch (update.status_)
        {
        case update_status::applied:
            return applied(document);
        case update_status::conflict:
            return conflict_page(document, update.current_, current.token_);
        case update_status::not_higher:
            return review_page(
                409,
                document,
                base.value(),
                current.token_,
                "The revision must be higher than the one in force. Nothing "
                "was changed.");
        case update_status::unavailable:
            return review_page(
                503,
                document,
                base.value(),
                current.token_,
                "The platform refused the update. Nothing was changed.");
        case update_status::unknown:
            break;
        }
        return review_page(
            504,
            document,
            base.value(),
            current.token_,
            "Responses of the platform were lost, so the document may be "
            "stored or not. Applying it again is safe.");
    }

    /// Whether the request was made from the object that is stored now.
    static bool has_base(form_fields const& fields, stored_policy const& stored)
    {
        return fields.value("base_version") ==
               fmt::format("{}", stored.version_.value());
    }

    static http_response form_page(
        policy_document const& document,
        stored_policy const& base,
        session const& current)
    {
        return edit_page(
            make_policy_form(
                document, base.version_, base.document_.revision_.next()),
            current.token_,
            {});
    }

    static http_response applied(policy_document const& document)
    {
        return {
            .status_ = 303,
            .headers_ = {
                {"Location",
                 fmt::format(
                     "/status?revision={}", document.revision_.value())}}};
    }

    static http_response
    unavailable_page(policy_store_error error, std::string const& sent)
    {
        return refused_page(
            503,
            "Not possible at present",
            fmt::format("Nothing was changed: {}.", store_error_text(error)),
            sent);
    }

    static http_response invalid_page(form_fields const& fields)
    {
        return refused_page(
            400,
            "Refused",
            "The document is not valid, so nothing was changed.",
            sent_text(fields));
    }

    /// The document that a request carried, valid or not.
    static std::string sent_text(form_fields const& fields)
    {
        if (fields.contains("document"))
            return fields.value("document");
        if (!fields.contains("base_version"))
            return {};
        return policy_form_text(read_policy_form(fields));
    }

    policy_store<Platform>& store_;
    Survey& survey_;
    session_table sessions_;
};

} // namespace samphire
