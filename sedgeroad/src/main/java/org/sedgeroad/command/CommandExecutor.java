package org.sedgeroad.command;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Carries out statements. Calls block; thread-safe. */
public final class CommandExecutor {
  private final Map<Class<? extends Statement>, Function<Statement, CommandResult>> actions =
      new HashMap<>();

  /** Creates an executor. */
  public CommandExecutor(CommandParts parts) {
    ObjectChanges changes = new ObjectChanges(parts.writer());
    MemberCommands members = new MemberCommands(changes, parts.replica());
    on(Statement.CreateMember.class, members::create);
    on(Statement.ChangeMember.class, members::change);
    on(Statement.DropMember.class, members::drop);
    on(Statement.ShowMember.class, members::show);
    ModelCommands models = new ModelCommands(changes, parts.replica());
    on(Statement.CreateModel.class, models::create);
    on(Statement.ChangeModel.class, models::change);
    on(Statement.DropModel.class, models::drop);
    on(Statement.ShowModel.class, models::show);
    LimitCommands limits =
        new LimitCommands(changes, parts.replica(), parts.votes(), parts.applied());
    on(Statement.SetLimit.class, limits::set);
    on(Statement.ShowLimits.class, limits::show);
    JobCommands jobs = new JobCommands(parts.jobs(), parts.replica());
    on(Statement.SubmitJob.class, jobs::submit);
    on(Statement.CancelJob.class, jobs::cancel);
    on(Statement.ShowJobs.class, jobs::list);
    on(Statement.ShowJob.class, jobs::show);
    on(Statement.ShowItems.class, new ItemCommands(parts.jobs(), parts.writer().store())::show);
    FleetCommands fleet =
        new FleetCommands(changes, parts.replica(), parts.endpoints(), parts.instances());
    on(Statement.ShowEndpoints.class, fleet::endpoints);
    on(Statement.Drain.class, fleet::drain);
    on(Statement.LiftQuarantine.class, fleet::lift);
    OrderCommands orders = new OrderCommands(changes, parts.replica(), parts.endpoints());
    on(Statement.OrderLoad.class, orders::load);
    on(
        Statement.ShowList.class,
        statement ->
            switch (statement.target()) {
              case MEMBERS -> members.list();
              case MODELS -> models.list();
              case QUARANTINES -> fleet.quarantines();
              case INSTANCES -> fleet.instances();
              case ORDERS -> orders.list();
            });
  }

  /** Carries out one statement. */
  public CommandResult execute(Statement statement) {
    return actions.get(statement.getClass()).apply(statement);
  }

  boolean knows(Class<?> type) {
    return actions.containsKey(type);
  }

  private <S extends Statement> void on(Class<S> type, Function<S, CommandResult> action) {
    actions.put(type, statement -> action.apply(type.cast(statement)));
  }
}
