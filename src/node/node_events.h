#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide {

inline constexpr log_event node_started{7000, log_severity::info, "node_started"};
inline constexpr log_event node_stopping{7001, log_severity::info, "node_stopping"};
inline constexpr log_event node_stopped{7002, log_severity::info, "node_stopped"};
inline constexpr log_event node_reloaded{7003, log_severity::info, "node_reloaded"};
inline constexpr log_event calls_abandoned{7004, log_severity::warning, "calls_abandoned"};
inline constexpr log_event call_ended{7010, log_severity::info, "call_ended"};
inline constexpr log_event call_failed{7011, log_severity::warning, "call_failed"};
inline constexpr log_event call_refused{7012, log_severity::warning, "call_refused"};
inline constexpr log_event call_left{7013, log_severity::info, "call_left"};
inline constexpr log_event attempt_over{7014, log_severity::info, "attempt_over"};
inline constexpr log_event cap_reached{7015, log_severity::info, "cap_reached"};
inline constexpr log_event config_in_force{7020, log_severity::info, "config_in_force"};
inline constexpr log_event config_rejected{7021, log_severity::warning, "config_rejected"};
inline constexpr log_event table_away{7022, log_severity::warning, "table_away"};
inline constexpr log_event table_back{7023, log_severity::info, "table_back"};
inline constexpr log_event table_from_peer{7024, log_severity::info, "table_from_peer"};
inline constexpr log_event feeds_followed{7025, log_severity::info, "feeds_followed"};
inline constexpr log_event feeds_left{7026, log_severity::info, "feeds_left"};
inline constexpr log_event server_seen{7030, log_severity::info, "server_seen"};
inline constexpr log_event server_leaving{7031, log_severity::info, "server_leaving"};
inline constexpr log_event server_vanished{7032, log_severity::info, "server_vanished"};
inline constexpr log_event server_gone{7033, log_severity::info, "server_gone"};
inline constexpr log_event registration_rejected{7034, log_severity::warning,
                                                 "registration_rejected"};
inline constexpr log_event server_crashed{7035, log_severity::warning, "server_crashed"};
inline constexpr log_event prompt_part_quarantined{7036, log_severity::warning,
                                                   "prompt_part_quarantined"};
inline constexpr log_event prompt_part_cleared{7037, log_severity::info, "prompt_part_cleared"};
inline constexpr log_event server_limit_named{7038, log_severity::info, "server_limit_named"};
inline constexpr log_event server_limit_ended{7039, log_severity::info, "server_limit_ended"};
inline constexpr log_event server_limit_rejected{7043, log_severity::warning,
                                                 "server_limit_rejected"};
inline constexpr log_event server_links_lost{7044, log_severity::warning, "server_links_lost"};
inline constexpr log_event server_links_restored{7045, log_severity::info, "server_links_restored"};
inline constexpr log_event server_brittle{7046, log_severity::info, "server_brittle"};
inline constexpr log_event server_brittle_ended{7047, log_severity::info, "server_brittle_ended"};
inline constexpr log_event server_brittleness_rejected{7048, log_severity::warning,
                                                       "server_brittleness_rejected"};
inline constexpr log_event server_cold{7080, log_severity::info, "server_cold"};
inline constexpr log_event server_warm{7081, log_severity::info, "server_warm"};
inline constexpr log_event evacuation_began{7082, log_severity::warning, "evacuation_began"};
inline constexpr log_event evacuation_ended{7083, log_severity::info, "evacuation_ended"};
inline constexpr log_event server_leaving_notice{7058, log_severity::info, "server_leaving_notice"};
inline constexpr log_event server_leaving_rejected{7059, log_severity::warning,
                                                   "server_leaving_rejected"};
inline constexpr log_event unnamed_answer_rejected{7060, log_severity::warning,
                                                   "unnamed_answer_rejected"};
inline constexpr log_event foreign_answer_skipped{7071, log_severity::warning,
                                                  "foreign_answer_skipped"};
inline constexpr log_event move_ordered{7061, log_severity::info, "move_ordered"};
inline constexpr log_event move_order_rejected{7062, log_severity::warning, "move_order_rejected"};
inline constexpr log_event version_stopped{7063, log_severity::warning, "version_stopped"};
inline constexpr log_event store_restored{7064, log_severity::warning, "store_restored"};
inline constexpr log_event peer_found{7040, log_severity::info, "peer_found"};
inline constexpr log_event peer_lost{7041, log_severity::warning, "peer_lost"};
inline constexpr log_event peer_message_rejected{7042, log_severity::warning,
                                                 "peer_message_rejected"};
inline constexpr log_event peer_fetch_failed{7067, log_severity::info, "peer_fetch_failed"};
inline constexpr log_event duty_gained{7050, log_severity::info, "duty_gained"};
inline constexpr log_event duty_lost{7051, log_severity::warning, "duty_lost"};
inline constexpr log_event duty_released{7068, log_severity::info, "duty_released"};
inline constexpr log_event duty_call_failed{7069, log_severity::warning, "duty_call_failed"};
inline constexpr log_event answer_too_large{7070, log_severity::warning, "answer_too_large"};
inline constexpr log_event server_silent{7072, log_severity::info, "server_silent"};
inline constexpr log_event retry_withheld{7073, log_severity::info, "retry_withheld"};
inline constexpr log_event call_hedged{7090, log_severity::info, "call_hedged"};
inline constexpr log_event hedge_won{7091, log_severity::info, "hedge_won"};
inline constexpr log_event connection_evicted{7095, log_severity::warning, "connection_evicted"};
inline constexpr log_event duty_retaken{7065, log_severity::info, "duty_retaken"};
inline constexpr log_event usage_reported{7052, log_severity::info, "usage_reported"};
inline constexpr log_event usage_not_reported{7053, log_severity::warning, "usage_not_reported"};
inline constexpr log_event usage_rows_restored{7066, log_severity::info, "usage_rows_restored"};
inline constexpr log_event usage_history_started{7096, log_severity::info, "usage_history_started"};
inline constexpr log_event servers_ordered{7054, log_severity::info, "servers_ordered"};
inline constexpr log_event servers_not_ordered{7055, log_severity::warning, "servers_not_ordered"};
inline constexpr log_event dead_rows_not_removed{7057, log_severity::warning,
                                                 "dead_rows_not_removed"};
inline constexpr log_event own_row_not_written{7056, log_severity::warning, "own_row_not_written"};

} // namespace jujubetide
