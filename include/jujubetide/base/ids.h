#pragma once

#include "jujubetide/base/strong_id.h"

#include <cstdint>

namespace jujubetide {

/// One process of the system (an entry or a control process).
using node_id = strong_id<struct node_tag>;
/// One machine, as the cloud names it.
using host_id = strong_id<struct host_tag>;
/// A group of hosts that can be lost together, such as a zone.
using failure_domain_id = strong_id<struct failure_domain_tag>;
/// A group of failure domains.
using region_id = strong_id<struct region_tag>;
/// A machine class as the cloud sells it.
using host_class_id = strong_id<struct host_class_tag>;

using team_id = strong_id<struct team_tag>;
using service_id = strong_id<struct service_tag>;
using route_id = strong_id<struct route_tag>;
using version_id = strong_id<struct version_tag>;
using customer_id = strong_id<struct customer_tag>;
/// A model engine or plain server that runs one version of one service.
using backend_server_id = strong_id<struct backend_server_tag>;
using operator_id = strong_id<struct operator_tag>;

/// One caller's request, the same over every retry and hand-over.
using request_id = strong_id<struct request_tag>;
/// One sending of a request to one backend server.
using attempt_id = strong_id<struct attempt_tag>;
/// The caller's `Idempotency-Key`.
using idempotency_key = strong_id<struct idempotency_tag>;
/// One operator's change of settings, the same over every retry of its submission.
using change_id = strong_id<struct change_tag>;
using move_id = strong_id<struct move_tag>;
using lease_id = strong_id<struct lease_tag>;

/// Number of an accepted settings change; grows by one for each.
using revision = strong_number<struct revision_tag>;
/// Grows with every change of a lease's holder; 0 means none.
using fencing_number = strong_number<struct fencing_tag>;
/// Grows each time a node starts or refutes a suspicion.
using incarnation = strong_number<struct incarnation_tag>;
/// Orders the facts of one owner within one incarnation.
using sequence_number = strong_number<struct sequence_tag>;
/// Version of a table row; 0 means that the row does not exist.
using row_version = strong_number<struct row_version_tag>;

/// Position in a generated answer, counted in pieces from 0.
using piece_offset = strong_number<struct piece_offset_tag, std::uint32_t>;
using token_count = strong_number<struct token_count_tag>;
using byte_count = strong_number<struct byte_count_tag>;
/// Price in millionths of the currency unit for an hour of a host.
using micro_price = strong_number<struct micro_price_tag>;

} // namespace jujubetide
