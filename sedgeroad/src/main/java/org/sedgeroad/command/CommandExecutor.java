package org.sedgeroad.command;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Executes statements. Calls block; thread-safe. */
public final class CommandExecutor {
  private final Map<Class<? extends Statement>, Function<Statement, CommandResult>> actions =
      new HashMap<>();

  /** Creates an executor. */
  public CommandExecutor(CommandDependencies dependencies) {
    ObjectChanges changes = new ObjectChanges(dependencies.writer());
    MemberCommands members = new MemberCommands(changes, dependencies.replica());
    register(Statement.CreateMember.class, members::create);
    register(Statement.ChangeMember.class, members::change);
    register(Statement.DropMember.class, members::drop);
    register(Statement.ShowMember.class, members::show);
    ModelCommands models = new ModelCommands(changes, dependencies.replica());
    register(Statement.CreateModel.class, models::create);
    register(Statement.ChangeModel.class, models::change);
    register(Statement.DropModel.class, models::drop);
    register(Statement.ShowModel.class, models::show);
    LimitCommands limits =
        new LimitCommands(
            changes, dependencies.replica(), dependencies.votes(), dependencies.appliedVersions());
    register(Statement.SetLimit.class, limits::set);
    register(Statement.ShowLimits.class, limits::show);
    JobCommands jobs = new JobCommands(dependencies.jobs(), dependencies.replica());
    register(Statement.SubmitJob.class, jobs::submit);
    register(Statement.CancelJob.class, jobs::cancel);
    register(Statement.ShowJobs.class, jobs::list);
    register(Statement.ShowJob.class, jobs::show);
    register(
        Statement.ShowItems.class,
        new ItemCommands(dependencies.jobs(), dependencies.writer().store())::show);
    FleetCommands fleet =
        new FleetCommands(
            changes, dependencies.replica(), dependencies.endpoints(), dependencies.instances());
    register(Statement.ShowEndpoints.class, fleet::listEndpoints);
    register(Statement.Drain.class, fleet::drain);
    register(Statement.LiftQuarantine.class, fleet::liftQuarantine);
    OrderCommands orders =
        new OrderCommands(changes, dependencies.replica(), dependencies.endpoints());
    register(Statement.OrderLoad.class, orders::load);
    register(
        Statement.ShowList.class,
        statement ->
            switch (statement.target()) {
              case MEMBERS -> members.list();
              case MODELS -> models.list();
              case QUARANTINES -> fleet.listQuarantines();
              case INSTANCES -> fleet.listInstances();
              case ORDERS -> orders.list();
            });
  }

  /** Executes one statement. */
  public CommandResult execute(Statement statement) {
    return actions.get(statement.getClass()).apply(statement);
  }

  boolean supports(Class<?> type) {
    return actions.containsKey(type);
  }

  private <S extends Statement> void register(Class<S> type, Function<S, CommandResult> action) {
    actions.put(type, statement -> action.apply(type.cast(statement)));
  }
}
